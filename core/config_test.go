package core_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/member"
)

// A revision that several sources send is not logged as ignored. Where every node
// watches the platform, a node does not announce adopted values: at each change of
// the list that would cost each node three messages.
func TestAdopt(t *testing.T) {
	self := gypsumrail.Instance{Name: "s-1", Service: "s", Zone: "z", Address: "127.0.0.1:1", State: gypsumrail.Live}
	other := gypsumrail.Instance{Name: "s-2", Service: "s", Zone: "z", Address: "127.0.0.1:2", State: gypsumrail.Live}
	peer := gypsumrail.Instance{Name: "s-2", Address: "127.0.0.1:2"}
	for _, test := range []struct {
		name     string
		every    gypsumrail.Millis
		revision gypsumrail.Revision
		peer     gypsumrail.Instance
		want     []gypsumrail.EffectKind
		notice   gypsumrail.Notice
	}{
		{"newer, all watch", -1, 9, gypsumrail.Instance{}, []gypsumrail.EffectKind{gypsumrail.Adopt, gypsumrail.Log}, gypsumrail.NoticeRevisionAdopted},
		{"newer, with gossip", 1000, 9, gypsumrail.Instance{}, []gypsumrail.EffectKind{gypsumrail.Adopt, gypsumrail.Log, gypsumrail.SendExchange}, gypsumrail.NoticeRevisionAdopted},
		{"the same", -1, 8, gypsumrail.Instance{}, nil, 0},
		{"older, of the platform", -1, 7, gypsumrail.Instance{}, []gypsumrail.EffectKind{gypsumrail.Log}, gypsumrail.NoticeRevisionIgnored},
		{"older, of a peer", -1, 7, peer, nil, 0},
		{"far ahead, of a peer", -1, 1 << 60, peer, []gypsumrail.EffectKind{gypsumrail.Log}, gypsumrail.NoticeRevisionIgnored},
	} {
		parts := setup.New(self, setup.Settings{})
		parts.Directory = member.NewListed(self)
		n := core.New(core.Settings{GossipEvery: test.every}, parts)
		read := func(revision gypsumrail.Revision, from gypsumrail.Instance) []gypsumrail.Effect {
			return n.Step(&gypsumrail.Event{
				Kind: gypsumrail.InstancesRead, At: 10, Instances: []gypsumrail.Instance{self, other}, Peer: from,
				Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: revision},
			})
		}
		read(8, gypsumrail.Instance{})
		var kinds []gypsumrail.EffectKind
		var notice gypsumrail.Notice
		for _, e := range read(test.revision, test.peer) {
			kinds = append(kinds, e.Kind)
			notice = max(notice, e.Notice)
		}
		if diff := cmp.Diff(test.want, kinds); diff != "" || notice != test.notice {
			t.Errorf("%s: notice %d, effects (-want +got): %s", test.name, notice, diff)
		}
	}
}

// The log of an adopted list names the instances that the list adds, marks as leaving
// or no longer has.
func TestAdoptedList(t *testing.T) {
	self := gypsumrail.Instance{Name: "s-1", Service: "s", Zone: "z", Address: "127.0.0.1:1", State: gypsumrail.Live}
	parts := setup.New(self, setup.Settings{})
	parts.Directory = member.NewListed(self)
	n := core.New(core.Settings{GossipEvery: -1}, parts)
	var got []string
	for i, names := range [][]string{{"a", "b"}, {"a", "-b", "c"}, {"a"}, {"a", "d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8", "d9"}, {"a"}} {
		var instances []gypsumrail.Instance
		for _, name := range names {
			instance := gypsumrail.Instance{Name: strings.TrimPrefix(name, "-"), Service: "s", Zone: "z", Address: "127.0.0.1:2", State: gypsumrail.Live}
			if instance.Name != name {
				instance.State = gypsumrail.Leaving
			}
			instances = append(instances, instance)
		}
		for _, e := range n.Step(&gypsumrail.Event{
			Kind: gypsumrail.InstancesRead, At: 10, Instances: instances,
			Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: gypsumrail.Revision(i + 1)},
		}) {
			if e.Kind == gypsumrail.Log {
				got = append(got, e.Detail)
			}
		}
	}
	want := []string{
		"Revision=1 Added=a,b", "Revision=2 Added=c Leaving=b", "Revision=3 Gone=b,c",
		"Revision=4 Added=d0,d1,d2,d3,d4,d5,d6,d7,+2", "Revision=5 Gone=d0,d1,d2,d3,d4,d5,d6,d7,+2",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("log details of the adopted lists (-want +got): %s", diff)
	}
}

// Guards against an instance list that is ignored after the platform's store came back from
// an older copy, because its revision is lower than the one in force (CONFIG, DRAIN), and
// against calls to an instance that had left and that the copy lists again.
func TestListOfRestoredPlatform(t *testing.T) {
	instance := func(name string) gypsumrail.Instance {
		return gypsumrail.Instance{Name: name, Service: "back", Zone: "z", Address: name, Incarnation: 7, State: gypsumrail.Live, Slots: 4}
	}
	self := gypsumrail.Instance{Name: "front-1", Service: "front", Zone: "z", Address: "127.0.0.1:1", State: gypsumrail.Live}
	n := setup.NewPlainNode(self, setup.PlainSettings{})
	read := func(at gypsumrail.Millis, era, revision uint64, list ...gypsumrail.Instance) gypsumrail.Effect {
		return effectOf(n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, At: at, Instances: list, Value: gypsumrail.ValueVersion{
			Name: gypsumrail.ValueInstances, Revision: gypsumrail.Revision(gypsumrail.Position(era, revision)),
		}}), gypsumrail.Log)
	}
	n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Records: &gypsumrail.Records{
		Revision: 1, Services: map[string]*gypsumrail.Service{"front": {Name: "front"}, "back": {Name: "back"}},
		Classes: map[string]*gypsumrail.Class{"c": {Name: "c", Service: "back", Unkeyed: true, Deadline: gypsumrail.Second}},
	}, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1}})
	read(0, 1, 90, self, instance("stays"), instance("left"))
	read(1000, 1, 100, self, instance("stays"))
	if log := read(5000, 2, 91, self, instance("stays"), instance("left"), instance("added")); log.Notice != gypsumrail.NoticePlatformRestored {
		t.Errorf("the list of the copy is logged as %d (%s)", log.Notice, log.Detail)
	}
	chosen := map[string]bool{}
	for call := range gypsumrail.CallID(200) {
		sent := effectOf(n.Step(&gypsumrail.Event{
			Kind: gypsumrail.CallArrived, Call: call + 1, At: 5200 + gypsumrail.Millis(call), Random: uint64(call) * 0x9E3779B97F4A7C15,
			Arrival: &gypsumrail.Arrival{Origin: gypsumrail.FromCaller, Class: "c", Request: fmt.Sprint(call), Attempt: 1},
		}), gypsumrail.Forward)
		chosen[sent.To.Name] = true
	}
	if diff := cmp.Diff(map[string]bool{"stays": true, "added": true}, chosen); diff != "" {
		t.Errorf("chosen (-want +got):\n%s", diff)
	}
}
