package logs

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

var update = flag.Bool("update", false, "rewrite the table of docs/events.md")

const (
	page      = "../../../docs/events.md"
	tableHead = "| number | name | level | message | when | what to do |\n|---|---|---|---|---|---|\n"
)

// The table in docs/events.md must equal the table in the program, so that the
// page neither lacks an event nor describes one that does not exist.
func TestPage(t *testing.T) {
	var want strings.Builder
	for _, e := range Table() {
		fmt.Fprintf(&want, "| %d | %s | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Message, e.When, e.Action)
	}
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(data), tableHead)
	if !found {
		t.Fatalf("%s has no table", page)
	}
	end := 0
	for line := range strings.Lines(rest) {
		if !strings.HasPrefix(line, "|") {
			break
		}
		end += len(line)
	}
	if *update {
		if err := os.WriteFile(page, []byte(before+tableHead+want.String()+rest[end:]), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want.String(), rest[:end]); diff != "" {
		t.Errorf("the table (-) and %s (+) differ:\n%s", page, diff)
	}
}

// Every constant of type Notice must have an entry in the table and vice versa.
// Otherwise an operator could see a number that no page explains.
func TestConstants(t *testing.T) {
	listed := map[string]gypsumrail.Notice{}
	last := gypsumrail.Notice(0)
	for _, e := range Table() {
		if e.Number <= last || e.Message == "" || e.When == "" || e.Action == "" {
			t.Errorf("entry %d after %d is out of order or incomplete", e.Number, last)
		}
		last = e.Number
		listed["Notice"+e.Name] = e.Number
	}
	declared := constants(t, "../../..", "../shell", "../relay")
	if len(declared) == 0 {
		t.Fatal("no constants found")
	}
	if diff := cmp.Diff(declared, listed); diff != "" {
		t.Errorf("the constants (-) and the table (+) differ:\n%s", diff)
	}
}

// constants returns the constants of type Notice that the packages declare.
func constants(t *testing.T, dirs ...string) map[string]gypsumrail.Notice {
	t.Helper()
	found := map[string]gypsumrail.Notice{}
	for _, dir := range dirs {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no source in %s: %v", dir, err)
		}
		for _, file := range files {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(parsed, func(n ast.Node) bool {
				spec, ok := n.(*ast.ValueSpec)
				if !ok || len(spec.Values) != 1 || !isNotice(spec.Type) {
					return true
				}
				literal, ok := spec.Values[0].(*ast.BasicLit)
				if !ok {
					t.Fatalf("%s: the value of %s is not a literal", file, spec.Names[0])
				}
				number, err := strconv.Atoi(literal.Value)
				if err != nil {
					t.Fatal(err)
				}
				found[spec.Names[0].Name] = gypsumrail.Notice(number)
				return true
			})
		}
	}
	return found
}

func isNotice(expr ast.Expr) bool {
	switch e := expr.(type) {
	case *ast.Ident:
		return e.Name == "Notice"
	case *ast.SelectorExpr:
		return e.Sel.Name == "Notice"
	}
	return false
}

type fixedClock struct{ now gypsumrail.Millis }

func (c *fixedClock) Now() gypsumrail.Millis { return c.now }

// The rate limit of one number must bound its lines, must not drop the events of
// other numbers, and must report how many lines it dropped.
func TestRate(t *testing.T) {
	var out strings.Builder
	clock := &fixedClock{}
	l := New(&out, clock, Settings{Node: "n", Formatter: log.LogfmtFormatter})
	lines := func() []string {
		text := strings.TrimSpace(out.String())
		out.Reset()
		return strings.Split(text, "\n")
	}
	for range 10_000 {
		l.Log(gypsumrail.NoticeUnknownAnswer, "", gypsumrail.ReasonNone, "")
	}
	if got := len(lines()); got != burst {
		t.Errorf("%d lines of 10,000 events, want %d", got, burst)
	}
	l.Log(gypsumrail.NoticeLedgerFull, "n", gypsumrail.ReasonOverload, "")
	if got := lines()[0]; !strings.Contains(got, `level=error msg="ledger is full" Node=n Notice=1801 Name=LedgerFull Subject=n Reason=Overload`) {
		t.Errorf("another event got %q", got)
	}
	clock.now += gypsumrail.Second
	l.Log(gypsumrail.NoticeUnknownAnswer, "", gypsumrail.ReasonNone, "")
	l.Log(gypsumrail.NoticeUnknownAnswer, "", gypsumrail.ReasonNone, "")
	if got := lines(); len(got) != 1 || !strings.HasSuffix(got[0], fmt.Sprintf("Suppressed=%d", 10_000-burst)) {
		t.Errorf("a second later: %q", got)
	}
	for number := range gypsumrail.Notice(1000) {
		l.Log(number, "", gypsumrail.ReasonNone, "")
	}
	if got := lines(); len(got) != burst || !strings.Contains(got[0], "without an entry") {
		t.Errorf("unknown numbers: %d lines, first %q", len(got), got[0])
	}
}
