package trace

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

const header = `{"FormatVersion":1,"Kind":"Scenario","Name":"s","Seed":1,"Until":1000,"Records":{"Revision":1,"Records":[` +
	`{"SchemaVersion":1,"Kind":"Service","Name":"a","SlotsMax":2,"ConnsMax":4},` +
	`{"SchemaVersion":1,"Kind":"Target","Name":"a1","Service":"a","Zone":"z","Slots":2,"Conns":4},` +
	`{"SchemaVersion":1,"Kind":"Class","Name":"c","Importance":1,"DeadlineMillis":9,"Repeatable":true,"Service":"a","Uses":["a"]}]}}` + "\n"

const (
	workLine  = `{"Work":{"Service":"a","MeanMillis":5,"Spread":"Fixed"}}` + "\n"
	phaseLine = `{"Phase":{"Class":"c","Zone":"z","Rate":10,"From":0,"Until":1000,"Deadline":100}}` + "\n"
)

func noLoader(string) ([]byte, error) { return nil, errors.New("no such file") }

// The reader must reject what it does not know; otherwise a replay would run
// another scenario than the one written. Each error must name the faulty line.
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
		{"long line", header + strings.Repeat(" ", LineBytesMax), "s:2: the line is longer than 2097152 bytes"},
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

// The reader must reject call trees with too many calls, which would exhaust the
// memory of a replay. Here each of ten services calls the next one twice, which
// makes 1023 calls.
func TestReadRefusesLargeTree(t *testing.T) {
	records := `{"SchemaVersion":1,"Kind":"Class","Name":"c","Importance":1,"DeadlineMillis":9,"Repeatable":true,"Service":"s0","Uses":["s0"]}`
	var lines strings.Builder
	for i := range 10 {
		records += fmt.Sprintf(`,{"SchemaVersion":1,"Kind":"Service","Name":"s%d","SlotsMax":2,"ConnsMax":4,"Dependencies":[%s]}`+
			`,{"SchemaVersion":1,"Kind":"Target","Name":"t%d","Service":"s%d","Zone":"z","Slots":2,"Conns":4}`, i,
			strings.TrimSuffix(fmt.Sprintf(`"s%d"`, i+1), fmt.Sprintf(`"s%d"`, 10)), i, i)
		fmt.Fprintf(&lines, `{"Work":{"Service":"s%d","MeanMillis":5,"Spread":"Fixed"}}`+"\n", i)
		if i < 9 {
			fmt.Fprintf(&lines, `{"Calls":{"Class":"c","Service":"s%d","Steps":[["s%d"],["s%d"]]}}`+"\n", i, i+1, i+1)
		}
	}
	text := `{"FormatVersion":1,"Kind":"Scenario","Name":"s","Until":1000,"Records":{"Revision":1,"Records":[` + records + "]}}\n" +
		lines.String() + phaseLine
	_, err := Read(strings.NewReader(text), "s", noLoader)
	if err == nil || !strings.Contains(err.Error(), "more than 256") {
		t.Errorf("error is %v, want one about the size of the tree", err)
	}
}

// Events must not change when they are written and read back; otherwise a replay
// would not reproduce the recorded incident.
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

// The reader must not panic on any input. The phases, work and calls of a scenario
// that it accepts must be accepted again after they were written.
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
			t.Errorf("the reader rejects a trace that it read before and the writer wrote: %v", err)
		}
	})
}
