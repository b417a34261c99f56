package member

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

func listedNames(d *Listed) []string {
	var names []string
	for _, i := range d.Upstreams("s") {
		names = append(names, i.Name)
	}
	return names
}

func listOf(names ...string) []gypsumrail.Instance {
	var list []gypsumrail.Instance
	for _, name := range names {
		list = append(list, gypsumrail.Instance{Name: name, Service: "s", Zone: "z", Address: name + ":1", State: gypsumrail.Live})
	}
	return list
}

// Guards against live instances that are dropped because their entries lapsed
// while the platform was away, and against dead ones that are kept after that.
func TestListedAfterOutage(t *testing.T) {
	d := NewListed(gypsumrail.Instance{Name: "self", Service: "s", Address: "a:1"})
	d.MergeList(0, listOf("a", "b", "c"))
	check := func(at gypsumrail.Millis, want ...string) {
		t.Helper()
		if diff := cmp.Diff(want, listedNames(d)); diff != "" {
			t.Errorf("at %d (-want +got):\n%s", at, diff)
		}
	}
	d.MergeList(10_000, listOf("a", "b"))
	check(10_000, "a", "b") // the platform was there all the time
	d.Contact(20_000, false)
	d.MergeList(21_000, listOf("a")) // a peer's list
	check(21_000, "a", "b")
	d.Contact(30_000, true)
	d.MergeList(30_000, listOf())
	check(30_000, "a", "b")
	d.MergeList(31_000, listOf("a"))
	d.Expire(31_999)
	check(31_999, "a", "b")
	generation := d.Generation()
	d.Expire(32_000)
	check(32_000, "a")
	if d.Generation() == generation {
		t.Error("the end of an entry did not show as a change")
	}
}

// Guards against a node that takes the entry of its target's earlier run for its
// own, and against one that takes itself for a peer.
func TestListedSelf(t *testing.T) {
	self := gypsumrail.Instance{Name: "node", Service: "s", Zone: "z", Address: "x:1"}
	d := NewListed(self)
	if d.Self() != self {
		t.Errorf("self is %+v while the list does not name it", d.Self())
	}
	list := listOf("a", "b", "x")
	list[0].Address, list[0].Incarnation = "x:1", 2
	list[1].Address, list[1].Incarnation = "x:1", 1
	list[2].Address, list[2].Service = "x:1", "other"
	d.MergeList(0, list)
	if got := d.Self().Name; got != "a" {
		t.Errorf("self is %q", got)
	}
	for random := range uint64(10) {
		if peer, ok := d.Partner(random); ok {
			t.Errorf("%+v is a peer of itself", peer)
		}
	}
	d.MergeList(1, append(list, listOf("p")...))
	for random := range uint64(10) {
		if peer, ok := d.Partner(random); !ok || peer.Name != "p" {
			t.Errorf("partner %+v, %t", peer, ok)
		}
	}
}

// Guards against an instance that leaves shortly after the platform's return and
// is kept as if its entry had lapsed in the outage.
func TestListedLeavesAfterOutage(t *testing.T) {
	d := NewListed(gypsumrail.Instance{Name: "self", Service: "s", Address: "a:1"})
	d.MergeList(0, listOf("a", "b", "c"))
	d.Contact(10_000, false)
	d.Contact(20_000, true)
	d.MergeList(20_100, listOf("a", "b"))
	d.MergeList(21_400, listOf("a"))
	if diff := cmp.Diff([]string{"a", "c"}, listedNames(d)); diff != "" {
		t.Errorf("1.4 s after the return (-want +got):\n%s", diff)
	}
}
