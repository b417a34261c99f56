package form

import (
	"regexp"
	"testing"

	"pgregory.net/rapid"
)

// final and interim are the rule of hard-load.md, section 3.6, as patterns.
var (
	final   = regexp.MustCompile(`^HTTP/1\.[01] [2-5][0-9][0-9]( |\r?\n)`)
	interim = regexp.MustCompile(`^HTTP/1\.[01] 1[0-9][0-9]( |\r?\n)`)
	process = regexp.MustCompile(`^HTTP/1\.[01] 101`)
)

// Guards against a first line that is taken for that of a response, or a response that is not,
// also when the line arrives in parts.
func TestLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.OneOf(
			rapid.StringMatching(`HTTP/[0-3]\.[0-2] ?[ +-]?[0-9a]{1,4}( [A-Z]{0,3})?\r?\n?`),
			rapid.StringMatching(`HTTP/1\.[01] [1-6][0-9]{2}( OK)?\r?\n`),
			rapid.String(),
		).Draw(t, "line")
		want := final.MatchString(line) || interim.MatchString(line) && !process.MatchString(line)
		decided := false
		for n := range len(line) + 1 {
			code, err := Line([]byte(line[:n]))
			if decided = code > 0 || err != nil; !decided {
				continue
			}
			if got := err == nil; got != want {
				t.Fatalf("%q counts as a response after %d bytes: %t, want %t", line, n, got, want)
			}
			if err == nil && IsInterim(code) != interim.MatchString(line) {
				t.Fatalf("%q has the status %d", line, code)
			}
			break
		}
		if !decided && (want || len(line) > lineBytes+1) {
			t.Fatalf("%q is not decided", line)
		}
	})
}
