package source

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// zoneOf returns the live instances of a zone, at the addresses a-0 to a-(n-1).
func zoneOf(n int) []gypsumrail.Instance {
	var list []gypsumrail.Instance
	for i := range n {
		list = append(list, gypsumrail.Instance{Address: fmt.Sprintf("a-%d", i), Zone: "z", State: gypsumrail.Live})
	}
	return list
}

// Guards against a zone in which no node, or more than one, reads the store for the
// others, and against readers in another zone or that are leaving.
func TestOneReader(t *testing.T) {
	for _, n := range []int{1, 2, 3, 40, 160} {
		list := zoneOf(n)
		list = append(list, gypsumrail.Instance{Address: "other", Zone: "y", State: gypsumrail.Live}, gypsumrail.Instance{Address: "leaving", Zone: "z", State: gypsumrail.Leaving})
		var readers []string
		asked := map[string]int{}
		for i := range n {
			c := New(list[i].Address, "z")
			c.SetInstances(list)
			if c.Next(0) == "" {
				readers = append(readers, list[i].Address)
			} else {
				asked[c.Next(0)]++
			}
		}
		if len(readers) != 1 || len(asked) > 1 || n > 1 && asked[readers[0]] != n-1 {
			t.Errorf("%d nodes: %v read the store, the others ask %v", n, readers, asked)
		}
	}
}

// Pattern: the sources of a node fail and return. Guards against a node that asks a
// failed peer again at once, that stays with the store after its peers are back, or
// that leaves its peers without a reader.
func TestNext(t *testing.T) {
	list := zoneOf(4)
	self := slices.IndexFunc(list, func(i gypsumrail.Instance) bool {
		c := New(i.Address, "z")
		c.SetInstances(list)
		return !c.first
	})
	fresh := New(list[self].Address, "z")
	fresh.SetInstances(list)
	one, two := fresh.readers[0].address, fresh.readers[1].address
	tests := []struct {
		name string
		do   func(c *Chooser)
		want []string // sources at 100, 600, 1300, 2500 and 9000 ms
	}{
		{"calm", func(*Chooser) {}, []string{one, one, one, one, one}},
		{"first reader failed", func(c *Chooser) { c.Failed(100, one) }, []string{two, two, one, one, one}},
		{"both readers failed", func(c *Chooser) { c.Failed(100, one); c.Failed(100, two) }, []string{"", "", one, one, one}},
		{"failed three times", func(c *Chooser) { c.Failed(0, one); c.Failed(50, one); c.Failed(100, one) }, []string{two, two, two, two, one}},
		{"failed and succeeded", func(c *Chooser) { c.Failed(100, one); c.Succeeded(one) }, []string{one, one, one, one, one}},
		{"all failed", func(c *Chooser) { c.Failed(100, ""); c.Failed(100, one); c.Failed(100, two) }, []string{one, "", one, one, one}},
		{"asked", func(c *Chooser) { c.Asked(100) }, []string{"", "", "", "", one}},
		{"asked, and the store failed", func(c *Chooser) { c.Asked(100); c.Failed(100, "") }, []string{one, "", "", "", one}},
		{"alone", func(c *Chooser) { c.SetInstances(nil); c.Failed(100, "") }, []string{"", "", "", "", ""}},
	}
	for _, test := range tests {
		c := New(list[self].Address, "z")
		c.SetInstances(list)
		test.do(c)
		var got []string
		for _, now := range []gypsumrail.Millis{100, 600, 1300, 2500, 9000} {
			got = append(got, c.Next(now))
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// Pattern: a fleet starts, and the first entries are of another zone. Guards against all
// nodes of a zone reading the store until one of them is listed.
func TestReaderOfOtherZone(t *testing.T) {
	c := New("a-0", "z")
	c.SetInstances([]gypsumrail.Instance{{Address: "b", Zone: "y", State: gypsumrail.Live}})
	if got := c.Next(0); got != "b" {
		t.Errorf("without an instance of its zone, the node reads from %q, want the other zone's", got)
	}
	c.SetInstances(append(zoneOf(2), gypsumrail.Instance{Address: "b", Zone: "y", State: gypsumrail.Live}))
	if got := c.Next(0); got == "b" {
		t.Error("with instances of its zone, the node still reads from another zone")
	}
}

// Pattern: the reader of a zone loses the store and is served by a peer meanwhile. Guards
// against a reader that stays with the peer when the store may be tried again.
func TestPeerWait(t *testing.T) {
	list := zoneOf(3)
	for i := range list {
		c := New(list[i].Address, "z")
		c.SetInstances(list)
		c.Failed(1000, "")
		want := gypsumrail.Millis(700)
		if c.first {
			want = 200
		}
		if got := c.PeerWait(1100, 700); got != want {
			t.Errorf("reader %t: wait %d, want %d", c.first, got, want)
		}
	}
}
