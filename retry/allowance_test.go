package retry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A portion must be half of the allowance, rounded up, and empty for receivers
// without dependencies.
func TestGrant(t *testing.T) {
	tests := []struct {
		left            int
		hasDependencies bool
		want, rest      int
	}{
		{0, true, 0, 0}, {1, true, 1, 0}, {2, true, 1, 1}, {3, true, 2, 1}, {8, true, 4, 4},
		{3, false, 0, 3}, {-2, true, 0, 0},
	}
	for _, test := range tests {
		allowance := NewAllowance(test.left)
		portion := allowance.Grant(test.hasDependencies)
		if diff := cmp.Diff([]int{test.want, test.rest}, []int{portion.Size(), allowance.Left()}); diff != "" {
			t.Errorf("%+v: %s", test, diff)
		}
	}
}

// Answers must not return retries that were not granted or were returned before.
// Retries that are really unused must not be lost.
func TestReturn(t *testing.T) {
	tests := []struct{ unused, want int }{
		{0, 1}, {1, 2}, {2, 3}, {3, 1}, {1 << 40, 1}, {-1, 1}, {-1 << 40, 1},
	}
	for _, test := range tests {
		allowance := NewAllowance(3)
		portion := allowance.Grant(true) // 2
		for range 2 {
			allowance.Return(&portion, test.unused)
			if allowance.Left() != test.want {
				t.Errorf("%d unused gives %d left, want %d", test.unused, allowance.Left(), test.want)
			}
		}
	}
}

// A resend by a client must not get an allowance of its own.
func TestAtEntry(t *testing.T) {
	first, resend := AtEntry(3, 1), AtEntry(3, 2)
	if first.Left() != 3 || resend.Left() != 0 {
		t.Errorf("first attempt has %d, resend %d; want 3 and 0", first.Left(), resend.Left())
	}
}

// chain simulates one user request in a random call graph and counts all retries.
type chain struct {
	t       *rapid.T
	retries int
	hidden  int // retries that nodes made and reported as unused
	calls   int
}

// answer is what the sender of an attempt receives.
type answer struct {
	unused int
	late   bool // it arrives after the attempt timed out
	never  bool // the receiver crashed
}

// run simulates one node. It calls its dependencies and retries failed attempts
// within its allowance.
func (c *chain) run(granted, depth int) answer {
	c.calls++
	own := NewAllowance(granted)
	var portions []Portion
	var answers []answer
	dependencies := 0
	if depth < 6 && c.calls < 200 {
		dependencies = rapid.IntRange(0, 3).Draw(c.t, "dependencies")
	}
	for range dependencies {
		for {
			portion := own.Grant(depth < 5)
			got := c.run(portion.Size(), depth+1)
			portions, answers = append(portions, portion), append(answers, got)
			if !got.late && !got.never {
				own.Return(&portions[len(portions)-1], got.unused)
			}
			// Any earlier answer may arrive late or again.
			if i := rapid.IntRange(0, 2*len(answers)).Draw(c.t, "late"); i < len(answers) && !answers[i].never {
				own.Return(&portions[i], answers[i].unused)
			}
			if rapid.IntRange(0, 9).Draw(c.t, "crash") == 0 {
				return answer{never: true}
			}
			if !got.late && !got.never && rapid.Bool().Draw(c.t, "succeeded") || !own.Spend() {
				break
			}
			c.retries++
		}
	}
	out := answer{unused: own.Left(), late: rapid.IntRange(0, 4).Draw(c.t, "lost") == 0}
	switch rapid.IntRange(0, 9).Draw(c.t, "forged") {
	case 0, 1: // outside the portion
		out.unused = rapid.SampledFrom([]int{granted + 1, granted + 100, 1 << 60, -1, -1 << 60}).Draw(c.t, "outside")
	case 2: // inside the portion: the node hides retries made below it
		out.unused = rapid.IntRange(own.Left(), granted).Draw(c.t, "inside")
		c.hidden += out.unused - own.Left()
	}
	return out
}

// Property P1: the retries of one user request over all hops must not exceed its
// allowance, with crashes and lost, late, repeated and forged answers. A node that
// hides retries within its portion adds at most what it hides.
func TestRetriesOfTheChainAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := rapid.IntRange(0, 12).Draw(t, "initial")
		c := chain{t: t}
		c.run(initial, 0)
		if c.retries > initial+c.hidden {
			t.Fatalf("%d retries with an allowance of %d and %d hidden", c.retries, initial, c.hidden)
		}
	})
}
