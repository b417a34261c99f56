package verbs

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A block of a page that begins with a --help command must be the real output of
// that command, so that no page shows options that do not exist.
func TestPages(t *testing.T) {
	for _, page := range []string{"../../../README.md", "../../../docs/OPERATIONS.md"} {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		blocks := strings.Split(string(data), "```\n")
		for i := 1; i < len(blocks); i += 2 {
			command, shown, _ := strings.Cut(blocks[i], "\n")
			words := strings.Fields(command)
			if len(words) < 3 || words[0] != "$" || words[1] != "gypsumrail" || words[len(words)-1] != "--help" {
				continue
			}
			var out, errOut strings.Builder
			if code := Main(words[2:], &out, &errOut); code != ExitOK {
				t.Errorf("%s: %s gives %d: %s", page, command, code, &errOut)
			}
			if *update {
				blocks[i] = command + "\n" + out.String()
			} else if diff := cmp.Diff(out.String(), shown); diff != "" {
				t.Errorf("%s: the output (-) and the page (+) of %q differ:\n%s", page, command, diff)
			}
		}
		if *update {
			if err := os.WriteFile(page, []byte(strings.Join(blocks, "```\n")), 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
}
