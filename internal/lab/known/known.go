// Package known lets tests pass over what KNOWN-RED.txt lists, so that CI stays
// usable while a real fault waits for its mend and nobody forgets it.
package known

import (
	"os"
	"strings"
	"testing"
)

// Red skips a test that the list names in a line "test PACKAGE NAME: ...", and
// prints the line. Without a list, or with run, the test runs.
func Red(t *testing.T, list, pkg string, run bool) {
	t.Helper()
	data, err := os.ReadFile(list)
	if err != nil || run {
		return
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "test "+pkg+" "+t.Name()+":") {
			t.Skip("known red: ", line)
		}
	}
}
