package trial

import (
	"net/http"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Guards against an observer that misses a broken promise or reports one that is
// not broken.
func TestObserver(t *testing.T) {
	run := func(o *Observer, service, request string, number, attempt, times int) {
		r := &http.Request{Header: http.Header{}}
		r.Header.Set("Traceparent", traceparent(number, attempt))
		r.Header.Set(wire.HeaderRequest, request)
		r.Header.Set(wire.HeaderKey, "key-"+request)
		for range times {
			o.recordArrival(&Instance{Service: service}, r, true)
		}
	}
	tests := []struct {
		name    string
		runs    [3]int
		attempt Attempt
		broken  []int
	}{
		{"a whole answer", [3]int{1, 1, 1}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassRead, Whole: true}, nil},
		{"retries within the allowance", [3]int{2, 2, 4}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassRead, Whole: true}, []int{5}},
		{"retries above the allowance", [3]int{1, 1, 5}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassRead}, []int{1}},
		{"retries of a resend", [3]int{1, 1, 2}, Attempt{Number: 2, AttemptHeader: 2, Class: ClassRead}, []int{1}},
		{"a rejection", [3]int{}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassRead, Outcome: gypsumrail.NotRun}, nil},
		{"a rejected attempt that ran", [3]int{1, 0, 0}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassRead, Outcome: gypsumrail.NotRun}, []int{4}},
		{"an answer that ran nowhere", [3]int{}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassRead, Whole: true}, []int{3}},
		{"a foreign answer", [3]int{1, 1, 1}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassRead, Mismatch: "foreign"}, []int{3}},
		{"an order", [3]int{1, 1, 1}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassOrder, Whole: true}, nil},
		{"an order that ran twice at the deepest service", [3]int{1, 1, 2}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassOrder}, []int{5}},
		{"a key that ran twice", [3]int{2, 0, 0}, Attempt{Number: 1, AttemptHeader: 1, Class: ClassOrder}, []int{5, 5}},
	}
	for number, test := range tests {
		o := newObserver()
		test.attempt.Request = "r"
		for n, times := range test.runs {
			run(o, Services[n], "r", number, test.attempt.Number, times)
		}
		o.RecordAttempt(number, test.attempt)
		broken := o.Broken()
		same := len(broken) == len(test.broken)
		for n := range min(len(broken), len(test.broken)) {
			same = same && broken[n].Promise == test.broken[n]
		}
		if !same {
			t.Errorf("%s: broken %v, want promises %v", test.name, broken, test.broken)
		}
	}
}
