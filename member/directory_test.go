package member_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/member"
)

// startedAt returns the incarnation of an instance that started the given number
// of seconds after a fixed time in 2026, with random bits of zero.
func startedAt(second int) gypsumrail.Incarnation {
	return gypsumrail.Incarnation(1_790_000_000_000+second*1000) << 20
}

func instance(name string, edit ...func(*gypsumrail.Instance)) gypsumrail.Instance {
	i := gypsumrail.Instance{Name: name, Service: "front", Zone: "a", Address: name + ":1", Incarnation: startedAt(0), Version: 1, State: gypsumrail.Live}
	for _, e := range edit {
		e(&i)
	}
	return i
}

func state(s gypsumrail.State) func(*gypsumrail.Instance) {
	return func(i *gypsumrail.Instance) { i.State = s }
}

func version(v uint64) func(*gypsumrail.Instance) {
	return func(i *gypsumrail.Instance) { i.Version = v }
}

func incarnation(n gypsumrail.Incarnation) func(*gypsumrail.Instance) {
	return func(i *gypsumrail.Instance) { i.Incarnation = n }
}

func address(text string) func(*gypsumrail.Instance) {
	return func(i *gypsumrail.Instance) { i.Address = text }
}

// step is one entry that a directory receives.
type step struct {
	from  string // source: Peer, List or Direct
	entry gypsumrail.Instance
}

// Fails if the sources overrule each other in the wrong order: a stale list
// revives a leaving instance, or an older entry replaces a newer one.
func TestPrecedence(t *testing.T) {
	unknown := incarnation(0)
	later := incarnation(startedAt(60))
	tests := []struct {
		name  string
		steps []step
		want  gypsumrail.Instance
	}{
		{"higher version", []step{{"Peer", instance("x")}, {"Peer", instance("x", version(2))}}, instance("x", version(2))},
		{"lower version", []step{{"Peer", instance("x", version(2))}, {"Peer", instance("x")}}, instance("x", version(2))},
		{"suspect wins at the same version", []step{{"Peer", instance("x")}, {"Peer", instance("x", state(gypsumrail.Suspect))}}, instance("x", state(gypsumrail.Suspect))},
		{"refuted", []step{{"Peer", instance("x", state(gypsumrail.Suspect))}, {"Peer", instance("x", version(2))}}, instance("x", version(2))},
		{"leaving is not undone by a version", []step{{"Peer", instance("x", state(gypsumrail.Leaving))}, {"Peer", instance("x", version(9))}}, instance("x", state(gypsumrail.Leaving))},
		{"leaving is undone by a new run", []step{{"Peer", instance("x", state(gypsumrail.Leaving), version(9))}, {"Peer", instance("x", later)}}, instance("x", later)},
		{"earlier run", []step{{"Peer", instance("x", later)}, {"Direct", instance("x", version(9))}}, instance("x", later)},
		{"list adds", []step{{"List", instance("x", unknown, version(0))}}, instance("x", unknown, version(0))},
		{"peers overrule the list", []step{{"List", instance("x", unknown, version(0))}, {"Peer", instance("x")}}, instance("x")},
		{"list does not overrule peers", []step{{"Peer", instance("x")}, {"List", instance("x", unknown, version(99))}}, instance("x")},
		{"list marks leaving", []step{{"Peer", instance("x")}, {"List", instance("x", state(gypsumrail.Leaving), version(0))}}, instance("x", state(gypsumrail.Leaving))},
		{"list does not revive", []step{{"Peer", instance("x", state(gypsumrail.Leaving))}, {"List", instance("x")}}, instance("x", state(gypsumrail.Leaving))},
		{"list without incarnations marks a run it named live", []step{{"List", instance("x", unknown)}, {"Peer", instance("x")},
			{"List", instance("x", unknown, state(gypsumrail.Leaving))}}, instance("x", state(gypsumrail.Leaving))},
		{"list without incarnations that lags behind a restart", []step{{"List", instance("x", unknown)}, {"Peer", instance("x")}, {"Peer", instance("x", later)},
			{"List", instance("x", unknown, state(gypsumrail.Leaving))}}, instance("x", later)},
		{"a later list moves an instance", []step{{"List", instance("x", unknown, address("q:1"))}, {"List", instance("x", unknown, address("p:1"))},
			{"Peer", instance("x", unknown, address("q:1"))}}, instance("x", unknown, address("p:1"))},
		{"list with a later run and no address", []step{{"Peer", instance("x")}, {"List", instance("x", later, address(""))}}, instance("x", later)},
		{"direct leaving without other fields", []step{{"Peer", instance("x", version(4))},
			{"Direct", gypsumrail.Instance{Name: "x", Incarnation: startedAt(0), State: gypsumrail.Leaving}}}, instance("x", version(4), state(gypsumrail.Leaving))},
		{"direct version far below an absurd one", []step{{"Peer", instance("x", version(1<<32))}, {"Direct", instance("x")}}, instance("x")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := member.New(instance("self"), member.Settings{})
			for at, s := range test.steps {
				apply(d, gypsumrail.Millis(at), s)
			}
			got, _ := d.Lookup("x")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("entry differs (-want +got):\n%s", diff)
			}
		})
	}
}

// apply gives the entry of a step to the method of its source.
func apply(d *member.Directory, now gypsumrail.Millis, s step) bool {
	switch s.from {
	case "Peer":
		return d.Merge(now, []gypsumrail.Instance{s.entry})
	case "List":
		return d.MergeList(now, []gypsumrail.Instance{s.entry})
	}
	return d.RecordState(now, s.entry)
}

// Fails if an instance does not refute a wrong suspicion of itself, or if other
// nodes or the list can change its entry.
func TestSelf(t *testing.T) {
	d := member.New(instance("self"), member.Settings{})
	if !d.Merge(0, []gypsumrail.Instance{instance("self", state(gypsumrail.Suspect), version(3))}) {
		t.Error("the refutation is not reported as a change")
	}
	if diff := cmp.Diff(instance("self", version(4)), d.Self()); diff != "" {
		t.Errorf("refuted entry (-want +got):\n%s", diff)
	}
	if rumors := d.Rumors(0, 9); len(rumors) != 1 || rumors[0] != d.Self() {
		t.Errorf("rumors %+v do not carry the refutation", rumors)
	}
	for _, claim := range []gypsumrail.Instance{
		instance("self", incarnation(startedAt(-60)), version(9), state(gypsumrail.Leaving)), // stale
		instance("self", version(1<<63)),     // implausible
		instance("self", version(1<<20+100)), // implausible
	} {
		d.Merge(1, []gypsumrail.Instance{claim})
		d.MarkSuspect(1, "self")
		if contested, ok := d.Contested(); ok || d.Self() != instance("self", version(4)) {
			t.Fatalf("after %+v: self %+v, contested by %+v", claim, d.Self(), contested)
		}
	}
	claim := instance("self", incarnation(startedAt(60)))
	for _, from := range []string{"Peer", "List", "Direct"} {
		apply(d, 2, step{from, claim})
		if got, ok := d.Contested(); !ok || got != claim || d.Self() != instance("self", version(4)) {
			t.Errorf("%s: self %+v, contested by %+v", from, d.Self(), got)
		}
	}
	d.Leave(3)
	d.Merge(4, []gypsumrail.Instance{instance("self", version(8))})
	if got := d.Self(); got.State != gypsumrail.Leaving {
		t.Errorf("self is %s after Leave", got.State)
	}
}

// Fails if an entry with an invalid field or an incarnation or version far ahead
// of the real ones replaces or adds an entry. It would overrule all later true ones.
func TestAbsurdInput(t *testing.T) {
	d := member.New(instance("self"), member.Settings{})
	d.Merge(0, []gypsumrail.Instance{instance("x")})
	for _, bad := range []gypsumrail.Instance{
		instance(""), instance("x", state("Dead")), instance(string(make([]byte, 129))),
		instance("x", incarnation(math.MaxUint64)), instance("x", incarnation(1<<63)), instance("x", incarnation(startedAt(3*24*3600))),
		instance("x", version(1<<63)), instance("x", version(1<<21), state(gypsumrail.Leaving)), instance("y", version(1<<63)),
	} {
		for _, from := range []string{"Peer", "List", "Direct"} {
			apply(d, 1, step{from, bad})
		}
		if got, _ := d.Lookup("x"); got != instance("x") || d.Len() != 2 {
			t.Fatalf("after %+v: %+v and %d entries", bad, got, d.Len())
		}
	}
	if counts := d.Counts(); counts.Invalid == 0 || counts.Implausible == 0 {
		t.Errorf("counts %+v", counts)
	}
}

// Fails if a flood of made-up instances from a peer fills the directory, so that
// real ones cannot be added during the flood or after it.
func TestTooMany(t *testing.T) {
	d := member.New(instance("self"), member.Settings{})
	flood := make([]gypsumrail.Instance, 5000)
	for i := range flood {
		flood[i] = instance(fmt.Sprintf("flood-%d", i))
	}
	d.Merge(0, flood)
	d.MergeList(0, []gypsumrail.Instance{instance("listed")})
	d.RecordState(0, instance("direct"))
	d.Merge(0, []gypsumrail.Instance{instance("late")})
	_, listed := d.Lookup("listed")
	_, direct := d.Lookup("direct")
	if !listed || !direct || d.Len() != 4096 || d.Counts().Full == 0 {
		t.Errorf("listed %v, direct %v, %d entries, counts %+v", listed, direct, d.Len(), d.Counts())
	}
	now := 11 * gypsumrail.Minute
	// From peers that forget later. The first two entries of the flood were removed
	// to make room and have no tombstone, so they are left out.
	d.Merge(now, flood[100:1000])
	d.Merge(now, []gypsumrail.Instance{instance("late")})
	if _, late := d.Lookup("late"); !late || d.Len() != 3 {
		t.Errorf("after the flood: late %v, %d entries", late, d.Len())
	}
}

// Fails if a node whose clock was far behind at its start drops the entries of the
// whole fleet because their incarnations are ahead of its clock.
func TestWrongOwnClock(t *testing.T) {
	d := member.New(instance("self", incarnation(5<<20)), member.Settings{})
	d.Merge(0, []gypsumrail.Instance{instance("x"), instance("y"), instance("z", incarnation(1<<63))})
	if _, implausible := d.Lookup("z"); implausible || d.Len() != 3 {
		t.Errorf("%d entries, implausible one added: %v", d.Len(), implausible)
	}
}

// Fails if an entry without news is not forgotten after 10 minutes, if peers that
// forget later bring it back, or if an entry with recent news is forgotten.
func TestForget(t *testing.T) {
	const minute = gypsumrail.Minute
	d := member.New(instance("self"), member.Settings{})
	list := []gypsumrail.Instance{instance("listed")}
	d.MergeList(0, append(list, instance("unlisted")))
	d.Merge(0, []gypsumrail.Instance{instance("heard"), instance("gone")})
	d.MergeList(5*minute, list)
	d.RecordState(9*minute, instance("heard"))
	has := func(now gypsumrail.Millis, want ...string) {
		t.Helper()
		d.Merge(now, nil)
		got := []string{}
		for _, i := range d.Upstreams("front") {
			got = append(got, i.Name)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("at %d min (-want +got):\n%s", now/minute, diff)
		}
	}
	has(10*minute-1, "gone", "heard", "listed", "self", "unlisted")
	has(11*minute, "heard", "listed", "self", "unlisted")
	d.Merge(12*minute, []gypsumrail.Instance{instance("gone")})
	has(12*minute, "heard", "listed", "self", "unlisted")
	d.Merge(13*minute, []gypsumrail.Instance{instance("gone", version(2))})
	has(16*minute, "gone", "heard", "listed", "self")
	has(20*minute, "gone", "listed", "self")
	if v := d.Self().Version; v < 5 {
		t.Errorf("self is not listed and raised its version only to %d in 20 minutes", v)
	}
}

// Fails if a zone does not have three readers of the platform, or if others do
// not replace a reader that stops.
func TestReaders(t *testing.T) {
	var all []gypsumrail.Instance
	for i := range 12 {
		all = append(all, instance(fmt.Sprintf("n%d", i), func(in *gypsumrail.Instance) { in.Zone = string(rune('a' + i%2)) }))
	}
	readers := func(changes ...gypsumrail.Instance) map[string][]string {
		byZone := map[string][]string{}
		for _, self := range all {
			d := member.New(self, member.Settings{})
			d.Merge(0, all)
			d.Merge(0, changes)
			if d.IsReader() {
				byZone[self.Zone] = append(byZone[self.Zone], self.Name)
			}
		}
		return byZone
	}
	before := readers()
	if len(before["a"]) != 3 || len(before["b"]) != 3 {
		t.Fatalf("readers %v", before)
	}
	// Two readers are reported as suspect or leaving. The third stays a reader and two
	// others replace them. The two reject the report about themselves and go on
	// reading, so there are five readers and two more pending calls at the platform.
	stopped := readers(instance(before["a"][0], state(gypsumrail.Suspect)), instance(before["a"][1], state(gypsumrail.Leaving)))
	if len(stopped["a"]) != 5 || !cmp.Equal(before["b"], stopped["b"]) {
		t.Errorf("readers %v, before %v", stopped, before)
	}
}
