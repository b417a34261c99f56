package verbs

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const smallTrace = "testdata/small.jsonl"

// The results of a replay must depend only on the file and the seed, not on the
// order of map iteration or of goroutines.
func TestReplayTwice(t *testing.T) {
	var first, second bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		if code := Main([]string{"replay", smallTrace, "--seeds", "2", "--json"}, out, os.Stderr); code != ExitNotMet {
			t.Fatalf("exit code is %d, want %d", code, ExitNotMet)
		}
	}
	if diff := cmp.Diff(first.String(), second.String()); diff != "" {
		t.Errorf("two replays differ:\n%s", diff)
	}
	// The small trace states one outcome that no policy can reach. All others are met.
	if n := strings.Count(first.String(), `"Miss"`); n != 2 {
		t.Errorf("%d outcomes are missed, want the impossible one for both seeds:\n%s", n, first.String())
	}
}

// A missed outcome must fail the replay unless it is listed as known, and an error
// in a file must name the file and the line.
func TestReplayExit(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	broken := write("broken.jsonl", `{"FormatVersion":1,"Kind":"Node","Self":{"Name":"a"}}`+"\n{}\n")
	node := write("node.jsonl", `{"FormatVersion":1,"Kind":"Node","Name":"n","Self":{"Name":"a"}}`+"\n"+
		`{"Kind":"CallArrived","At":1,"Call":1,"Arrival":{"Origin":"Caller","Service":"s","Request":"r","Attempt":1}}`+"\n")
	known := write("known", "outcome small WeightedShare: impossible on purpose\n")
	other := write("other", "outcome small Recovery\n")
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"missed", []string{smallTrace, "--policy", "none"}, ExitNotMet, "MISSED small: outcome WeightedShare of policy none (seed 5)"},
		{"known", []string{smallTrace, "--policy", "none", "--known-red", known}, ExitOK, "known  small: outcome WeightedShare"},
		{"another one known", []string{smallTrace, "--policy", "none", "--known-red", other}, ExitNotMet, "MISSED"},
		{"met", []string{smallTrace, "--policy", "static"}, ExitOK, "static"},
		{"node", []string{node}, ExitOK, "n: 1 events of node a"},
		{"broken", []string{broken}, ExitBadInput, "broken.jsonl:2: unknown kind of event"},
		{"no file", []string{filepath.Join(dir, "none")}, ExitBadInput, "no such file"},
		{"policy", []string{smallTrace, "--policy", "odd"}, ExitBadInput, `unknown policy "odd"`},
		{"seeds", []string{smallTrace, "--seeds", "0"}, ExitBadInput, "--seeds is 0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Main(append([]string{"replay"}, test.args...), &out, &out)
			if code != test.code || !strings.Contains(out.String(), test.want) {
				t.Errorf("exit code is %d, want %d with %q in the output:\n%s", code, test.code, test.want, out.String())
			}
		})
	}
}
