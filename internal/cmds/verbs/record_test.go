package verbs

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
)

// A recording must be readable by replay and must begin with the records and
// instances of the node. Without them a replay refuses all calls as unknown.
func TestRecordReplay(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.jsonl")
	var out, errOut bytes.Buffer
	for _, args := range [][]string{
		{"record", fakeNode(t), "--out", file, "--records", "../../../examples/tsagaan/records.json"},
		{"replay", file},
	} {
		if code := Main(args, &out, &errOut); code != ExitOK {
			t.Fatalf("%s gives %d: %s", args[0], code, &errOut)
		}
	}
	// The first call runs and the second, a resend, joins it.
	for _, want := range []string{"recorded-lotdesk-1: 7 events of node lotdesk-1", "RunTarget              1\n", "Join                   1\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in the replay:\n%s", want, &out)
		}
	}
}
