package trace

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

const header = `{"FormatVersion":1,"Kind":"Scenario","Name":"s","Seed":1,"Until":1000,"Records":{"Services":{"a":{"Name":"a"}},` +
	`"Targets":{"a1":{"Name":"a1","Service":"a","Zone":"z","Slots":2,"Conns":4}},"Classes":{"c":{"Name":"c","Service":"a"}}}}` + "\n"

const (
	workLine  = `{"Work":{"Service":"a","MeanMillis":5,"Spread":"Fixed"}}` + "\n"
	phaseLine = `{"Phase":{"Class":"c","Zone":"z","Rate":10,"From":0,"Until":1000,"Deadline":100}}` + "\n"
)

func noLoader(string) (*gypsumrail.Records, error) { return nil, errors.New("no such file") }

// Guards against a reader that accepts what it does not understand, which
// would replay another scenario than the one written, and against errors
// without the line that has to be corrected.
func TestReadRefuses(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"empty", "", "s:1: the header is missing"},
		{"newer", `{"FormatVersion":2}`, "s:1: field FormatVersion is 2; this version reads 1"},
		{"unknown header field", `{"FormatVersion":1,"Kind":"Node","Extra":1}`, `s:1: json: unknown field "Extra"`},
		{"records file", `{"FormatVersion":1,"Kind":"Scenario","RecordsFile":"r"}`, "s:1: field RecordsFile: no such file"},
		{"unknown line", header + workLine + `{"Phases":{}}`, `s:3: json: unknown field "Phases"`},
		{"two values", header + `{"Fault":{"Kind":"Down","Service":"a","From":0,"Until":1}} {}`, "s:2: the line has text after its value"},
		{"nothing set", header + `{}`, "s:2: a line needs exactly one of Phase, Calls, Work and Fault"},
		{"blank line", header + "\n" + workLine, "s:2: the line is empty"},
		{"unknown class", header + strings.Replace(phaseLine, `"c"`, `"d"`, 1), `s:2: unknown class "d"`},
		{"span", header + strings.Replace(phaseLine, `"Until":1000`, `"Until":1001`, 1), "s:2: the span from 0 until 1001 is empty or outside 0 to 1000"},
		{"undeclared call", header + `{"Calls":{"Class":"c","Service":"a","Steps":[["a"]]}}`, `s:2: service "a" is not a dependency of "a" in the records`},
		{"no work", header + phaseLine, `s:2: class "c" has no Work for service "a"`},
		{"unknown fault", header + `{"Fault":{"Kind":"Odd","Service":"a","From":0,"Until":1}}`, `s:2: unknown kind of fault "Odd"`},
		{"unknown event", `{"FormatVersion":1,"Kind":"Node","Self":{"Name":"a1"}}` + "\n" + `{"Kind":"Odd","At":1}`, `s:2: unknown kind of event "Odd"`},
		{"long line", header + strings.Repeat(" ", MaxLineBytes), "s:2: the line is longer than 2097152 bytes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Read(strings.NewReader(test.text), "s", noLoader)
			if err == nil || err.Error() != test.want {
				t.Errorf("error is %v, want %s", err, test.want)
			}
		})
	}
}

// Guards against recursion without end on records whose services call each other.
func TestReadRefusesCycle(t *testing.T) {
	text := strings.Replace(header, `{"Name":"a"}`, `{"Name":"a","Dependencies":["a"]}`, 1) +
		`{"Calls":{"Class":"c","Service":"a","Steps":[["a"]]}}` + "\n" + workLine + phaseLine
	_, err := Read(strings.NewReader(text), "s", noLoader)
	if err == nil || !strings.Contains(err.Error(), "deeper than 16") {
		t.Errorf("error is %v, want one about the depth", err)
	}
}

// Guards against events that change when they are recorded and read back, so
// that a replay would see another incident.
func TestNodeRoundTrip(t *testing.T) {
	events := []gypsumrail.Event{
		{Kind: gypsumrail.CallArrived, At: 3, Random: 1 << 63, Call: 7, Arrival: &gypsumrail.Arrival{
			Origin: gypsumrail.FromCaller, Service: "a", Class: "c", Request: "r", Attempt: 1, Remaining: 50}},
		{Kind: gypsumrail.TargetDone, At: 9, Call: 7, Result: &gypsumrail.Result{Outcome: gypsumrail.Ran, Status: 200}},
	}
	var text bytes.Buffer
	w, err := NewWriter(&text, Header{Kind: KindNode, Self: gypsumrail.Instance{Name: "a1"}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range events {
		if err := w.Event(&events[i]); err != nil {
			t.Fatal(err)
		}
	}
	file, err := Read(&text, "s", noLoader)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(events, file.Events); diff != "" {
		t.Errorf("events differ (-written +read):\n%s", diff)
	}
}

// Guards against input that makes the reader panic or accept a scenario that
// the writer cannot reproduce.
func FuzzRead(f *testing.F) {
	f.Add([]byte(header + workLine + phaseLine))
	f.Add([]byte(header + `{"Fault":{"Kind":"Slow","Service":"a","Factor":10,"From":0,"Until":10}}`))
	f.Add([]byte(`{"FormatVersion":1,"Kind":"Node","Self":{"Name":"a1"}}` + "\n" + `{"Kind":"Tick","At":10}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Read(bytes.NewReader(text), "s", noLoader)
		if err != nil {
			return
		}
		var again bytes.Buffer
		w, err := NewWriter(&again, file.Header)
		if err != nil {
			t.Fatal(err)
		}
		for i := range file.Phases {
			if err := w.Line(Line{Phase: &file.Phases[i]}); err != nil {
				t.Fatal(err)
			}
		}
		for i := range file.Work {
			if err := w.Line(Line{Work: &file.Work[i]}); err != nil {
				t.Fatal(err)
			}
		}
		for i := range file.Calls {
			if err := w.Line(Line{Calls: &file.Calls[i]}); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := Read(&again, "s", noLoader); err != nil {
			t.Errorf("a trace that was read and written does not read again: %v", err)
		}
	})
}
