package core_test

import (
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
