package oracle_test

import (
	"strings"
	"testing"

	"github.com/gypsumrail/gypsumrail/internal/lab/loads"
	"github.com/gypsumrail/gypsumrail/internal/lab/oracle"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Each of the two targets has one slot; only a1 has the capability x.
const header = `{"FormatVersion":1,"Kind":"Scenario","Name":"s","Until":2000,"Records":{"Revision":1,"Records":[` +
	`{"SchemaVersion":1,"Kind":"Service","Name":"a","SlotsMax":1,"ConnsMax":4},` +
	`{"SchemaVersion":1,"Kind":"Target","Name":"a1","Service":"a","Zone":"z","Slots":1,"Conns":4,"Capabilities":["x"]},` +
	`{"SchemaVersion":1,"Kind":"Target","Name":"a2","Service":"a","Zone":"z","Slots":1,"Conns":4},` +
	`{"SchemaVersion":1,"Kind":"Class","Name":"high","Importance":9,"DeadlineMillis":900,"Repeatable":true,"Service":"a","Uses":["a"]},` +
	`{"SchemaVersion":1,"Kind":"Class","Name":"special","Importance":5,"DeadlineMillis":900,"Repeatable":true,"Service":"a","Uses":["a"],"Capabilities":{"a":["x"]}},` +
	`{"SchemaVersion":1,"Kind":"Class","Name":"low","Importance":1,"DeadlineMillis":900,"Repeatable":true,"Service":"a","Uses":["a"]}]}}
{"Work":{"Service":"a","MeanMillis":100,"Spread":"Fixed"}}
`

func phase(class string, rate string) string {
	return `{"Phase":{"Class":"` + class + `","Zone":"z","Rate":` + rate + `,"From":0,"Until":1000,"Deadline":200}}` + "\n"
}

// The oracle must not admit more requests than the slots can serve, and must
// admit the right ones. In one second, 2 slots serve 20 calls of 100 ms, and up to
// 10 of them can need the capability. A deadline of 200 ms lets a few requests
// start in the second window.
func TestAnswerable(t *testing.T) {
	tests := []struct {
		name    string
		lines   string
		atLeast map[string]int // answered requests, by class
		atMost  map[string]int // answered requests, by class
	}{
		{"importance first", phase("high", "12") + phase("low", "60"), map[string]int{"high": 6}, map[string]int{"high": 20, "low": 28}},
		{"capable targets only", phase("special", "60"), map[string]int{"special": 10}, map[string]int{"special": 18}},
		{"room beside the capable targets", phase("special", "60") + phase("low", "60"),
			map[string]int{"special": 10, "low": 12}, map[string]int{"special": 18, "low": 28}},
		{"slow", phase("low", "60") + `{"Fault":{"Kind":"Slow","Service":"a","Factor":2.5,"From":0,"Until":2000}}`, nil, nil},
		{"down", phase("low", "60") + `{"Fault":{"Kind":"Down","Service":"a","Target":"a2","From":0,"Until":2000}}`,
			map[string]int{"low": 10}, map[string]int{"low": 18}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file, err := trace.Read(strings.NewReader(header+test.lines), "s", nil)
			if err != nil {
				t.Fatal(err)
			}
			requests := loads.Requests(file, 1)
			count, offered := map[string]int{}, map[string]int{}
			total := 0
			for i, answered := range oracle.Answerable(file, requests, oracle.Options{}) {
				class := requests[i].Tree.Class.Name
				offered[class]++
				if answered {
					count[class]++
					total++
				}
			}
			if offered["high"] <= 20 && count["high"] != offered["high"] {
				t.Errorf("%d of %d requests of high are answered, although all fit", count["high"], offered["high"])
			}
			for class := range offered {
				if n := count[class]; n < test.atLeast[class] || n > test.atMost[class] {
					t.Errorf("%d of %d requests of %s are answered, want %d to %d", n, offered[class], class, test.atLeast[class], test.atMost[class])
				}
			}
			if total > 40 {
				t.Errorf("%d requests are answered, but two windows have room for 40", total)
			}
			withoutWaiting := 0
			for _, answered := range oracle.Answerable(file, requests, oracle.Options{NoWaiting: true}) {
				if answered {
					withoutWaiting++
				}
			}
			if withoutWaiting > 20 || withoutWaiting > total {
				t.Errorf("%d requests are answered without waiting, but one window has room for 20", withoutWaiting)
			}
		})
	}
}
