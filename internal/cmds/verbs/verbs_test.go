package verbs

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail/internal/node/admin"
)

var update = flag.Bool("update", false, "rewrite the expected output of the cases and the help blocks of the pages")

// The output and exit code of each subcommand must equal the expected ones. A case
// is a file with the command line, environment settings in front of it, then the
// exit code and both outputs. NODE stands for the address of fakeNode, OTHER for
// that of a server that is not a node.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "{}") }))
	defer other.Close()
	addresses := map[string]string{"NODE": fakeNode(t), "OTHER": other.Listener.Addr().String()}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, setting := range os.Environ() {
				if name, _, _ := strings.Cut(setting, "="); strings.HasPrefix(name, "GYPSUMRAIL_") {
					t.Setenv(name, "") // restores the variable after the case
					os.Unsetenv(name)
				}
			}
			command, _, _ := strings.Cut(string(data), "\n")
			line := strings.TrimPrefix(command, "$ ")
			for name, address := range addresses {
				line = strings.ReplaceAll(line, name, address)
			}
			words := strings.Fields(line)
			for len(words) > 0 && strings.Contains(words[0], "=") {
				name, value, _ := strings.Cut(words[0], "=")
				t.Setenv(name, value)
				words = words[1:]
			}
			if len(words) == 0 || words[0] != "gypsumrail" {
				t.Fatalf("the first line %q is not a command", command)
			}
			var out, errOut strings.Builder
			code := Main(words[1:], &out, &errOut)
			got := fmt.Sprintf("%s\nexit %d\n-- out --\n%s-- err --\n%s", command, code, &out, &errOut)
			for name, address := range addresses {
				got = strings.ReplaceAll(got, address, name)
			}
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(string(data), got); diff != "" && !*update {
				t.Errorf("output differs (-want +got):\n%s", diff)
			}
		})
	}
}

// fakeNode starts a server that answers like the admin port of a node, with the
// files of testdata/admin and 204 to a release, and returns its address.
func fakeNode(t *testing.T) string {
	t.Helper()
	files := map[string]string{"/status": "testdata/admin/status.json", "/events": "testdata/admin/events.jsonl"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == admin.ReleasePath {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		http.ServeFile(w, r, files[r.URL.Path])
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
