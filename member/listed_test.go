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

// Fails if the directory drops the entry of a live instance that the platform lost
// in an outage, or if it keeps an entry that the list does not name again within
// 2 s of the end of the outage.
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
	check(10_000, "a", "b") // no outage: the list removes c at once
	d.SetPlatformReachable(20_000, false)
	d.MergeList(21_000, listOf("a")) // a list from a peer, during the outage
	check(21_000, "a", "b")
	d.SetPlatformReachable(30_000, true)
	d.MergeList(30_000, listOf())
	check(30_000, "a", "b")
	d.MergeList(31_000, listOf("a"))
	d.Expire(31_999)
	check(31_999, "a", "b")
	generation := d.Generation()
	d.Expire(32_000)
	check(32_000, "a")
	if d.Generation() == generation {
		t.Error("Expire removed an entry, but Generation did not change")
	}
}

// Guards against new calls to a target that stated that it is leaving (DRAIN): the list may
// show it as before for as long as the platform is away, drop it, and show it again. A later
// incarnation under the same name counts anew.
func TestListedDeparture(t *testing.T) {
	d := NewListed(gypsumrail.Instance{Name: "self", Service: "s", Address: "self:1"})
	list := listOf("a", "b")
	list[0].Incarnation = 7
	d.MergeList(0, list)
	check := func(at gypsumrail.Millis, want ...gypsumrail.State) {
		t.Helper()
		var got []gypsumrail.State
		for _, i := range d.Upstreams("s") {
			got = append(got, i.State)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("at %d (-want +got):\n%s", at, diff)
		}
	}
	generation := d.Generation()
	if !d.MarkLeaving(10, "a", 7) || d.MarkLeaving(20, "a", 7) || d.Generation() == generation {
		t.Error("the first statement must change the directory, and the second must not")
	}
	check(20, gypsumrail.Leaving, gypsumrail.Live)
	d.MergeList(1000, listOf("b"))
	d.MergeList(2000, list)
	check(2000, gypsumrail.Leaving, gypsumrail.Live)
	d.MarkLeaving(3000, "c", 0) // not listed yet
	d.MergeList(4000, append(listOf("b", "c"), list[0]))
	check(4000, gypsumrail.Leaving, gypsumrail.Live, gypsumrail.Leaving)
	list[0].Incarnation = 8
	d.MergeList(5000, list)
	check(5000, gypsumrail.Live, gypsumrail.Live)
	d.MergeList(6000, listOf("c"))
	const seen = 5000 // when the list dropped c
	d.Expire(seen + departureTime - 1)
	check(seen+departureTime-1, gypsumrail.Leaving)
	d.Expire(seen + departureTime)
	d.MergeList(seen+departureTime, listOf("c", "d"))
	check(seen+departureTime, gypsumrail.Live, gypsumrail.Live)
}

// Guards against new calls to instances that had left (DRAIN) after the platform's store
// came back from an older copy, which shows them as they were. Also guards against the loss
// of instances that the copy does not have yet, and against one that stays out of use
// although it lives.
func TestListedAfterRestore(t *testing.T) {
	list := func(names ...string) []gypsumrail.Instance {
		entries := listOf(names...)
		for i := range entries {
			entries[i].Incarnation = 5
		}
		return entries
	}
	d := NewListed(gypsumrail.Instance{Name: "self", Service: "s", Address: "self:1"})
	check := func(at gypsumrail.Millis, want map[string]gypsumrail.State) {
		t.Helper()
		got := make(map[string]gypsumrail.State)
		for _, i := range d.Upstreams("s") {
			got[i.Name] = i.State
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("at %d (-want +got):\n%s", at, diff)
		}
	}
	const live, leaving = gypsumrail.Live, gypsumrail.Leaving
	d.MergeList(0, list("drained", "gone", "lapsed", "lives"))
	d.MergeList(1000, list("drained", "gone", "lives"))
	d.MergeList(2000, list("drained", "gone", "lapsed", "lives")) // back by itself
	check(2000, map[string]gypsumrail.State{"drained": live, "gone": live, "lapsed": live, "lives": live})
	draining := list("drained", "lapsed", "lives", "added")
	draining[0].State = leaving
	d.MergeList(3000, draining)
	d.MergeList(4000, list("lapsed", "lives", "added"))
	d.PlatformRestored(5000)
	d.MergeList(5000, list("drained", "gone", "lapsed", "lives"))
	check(5000, map[string]gypsumrail.State{"drained": leaving, "gone": leaving, "lapsed": live, "lives": live, "added": live})
	d.MergeList(6500, list("drained", "gone", "lapsed", "lives", "added")) // written again
	d.Expire(5000 + lapseTime - 1)
	check(5000+lapseTime-1, map[string]gypsumrail.State{"drained": leaving, "gone": leaving, "lapsed": live, "lives": live, "added": live})
	// An entry that is still listed is one that lives. What stated that it leaves does not.
	d.Expire(5000 + lapseTime)
	check(5000+lapseTime, map[string]gypsumrail.State{"drained": leaving, "gone": live, "lapsed": live, "lives": live, "added": live})
	d.MergeList(40_000, append(list("lives"), gypsumrail.Instance{Name: "drained", Service: "s", Zone: "z", Address: "drained:1", Incarnation: 6, State: live}))
	check(40_000, map[string]gypsumrail.State{"drained": live, "lives": live})
}

// Fails if Self returns the entry of an earlier run of the node's target or of
// another service, or if Partner returns the node itself.
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

// Fails if an entry is kept that disappears from the list 1.4 s after an outage. It
// was listed after the outage, so its absence means that the instance has left.
func TestListedLeavesAfterOutage(t *testing.T) {
	d := NewListed(gypsumrail.Instance{Name: "self", Service: "s", Address: "a:1"})
	d.MergeList(0, listOf("a", "b", "c"))
	d.SetPlatformReachable(10_000, false)
	d.SetPlatformReachable(20_000, true)
	d.MergeList(20_100, listOf("a", "b"))
	d.MergeList(21_400, listOf("a"))
	if diff := cmp.Diff([]string{"a", "c"}, listedNames(d)); diff != "" {
		t.Errorf("1.4 s after the outage (-want +got):\n%s", diff)
	}
}

// Pattern: all targets lose power and start again under new names at their addresses,
// or an address is used again by another service, and the list still names the earlier
// ones. Guards against calls to instances that cannot exist any more, each of which a
// target refuses as misdirected. An unknown start proves nothing.
func TestListedReplaced(t *testing.T) {
	entry := func(name, service, address string, start gypsumrail.Incarnation) gypsumrail.Instance {
		return gypsumrail.Instance{Name: name, Service: service, Address: address, Incarnation: start, State: gypsumrail.Live}
	}
	old, next := entry("old", "s", "a:1", 10), entry("next", "s", "a:1", 20)
	other, unknown := entry("other", "t", "a:1", 30), entry("unknown", "s", "a:1", 0)
	elsewhere := entry("elsewhere", "s", "b:1", 5)
	tests := []struct {
		name string
		list []gypsumrail.Instance
		want []string // upstreams of s
	}{
		{"alone", []gypsumrail.Instance{old, elsewhere}, []string{"elsewhere", "old"}},
		{"restarted", []gypsumrail.Instance{old, next, elsewhere}, []string{"elsewhere", "next"}},
		{"restarted, later first", []gypsumrail.Instance{next, old}, []string{"next"}},
		{"address used again", []gypsumrail.Instance{old, other, elsewhere}, []string{"elsewhere"}},
		{"unknown start", []gypsumrail.Instance{old, unknown}, []string{"old", "unknown"}},
		{"earlier one again", []gypsumrail.Instance{old}, []string{"old"}},
	}
	d := NewListed(gypsumrail.Instance{})
	for i, test := range tests {
		d.MergeList(gypsumrail.Millis(10_000*(i+1)), test.list)
		var got []string
		for _, u := range d.Upstreams("s") {
			got = append(got, u.Name)
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}
