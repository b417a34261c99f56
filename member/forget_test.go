package member_test

import (
	"math/rand/v2"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/member"
)

// Fails if an instance that crashed is not forgotten because peers send its entry
// to each other again, or if a live instance is forgotten. The list names half of
// the fleet.
func TestForgottenEverywhere(t *testing.T) {
	const n, crash, forgottenBy = 20, 5 * gypsumrail.Minute, 16 * gypsumrail.Minute
	directories := fleet(n)
	byName := map[string]*member.Directory{}
	var listed []gypsumrail.Instance
	for i, d := range directories {
		byName[d.Self().Name] = d
		if i%2 == 0 && i > 0 {
			listed = append(listed, d.Self())
		}
	}
	for _, d := range directories {
		d.MergeList(0, listed)
	}
	// Instance 0 makes no exchange after crash; its peers cannot reach it.
	random := rand.New(rand.NewPCG(5, 6))
	entries := 0
	for now := gypsumrail.Second; now < 90*gypsumrail.Minute; now += gypsumrail.Second {
		for i, d := range directories {
			partner, _ := d.Partner(random.Uint64())
			peer := byName[partner.Name]
			if now > crash && i == 0 {
				continue
			}
			if now > crash && peer == directories[0] {
				d.MarkSuspect(now, partner.Name)
				continue
			}
			sent, received := d.Rumors(now, 32), peer.Rumors(now, 32)
			mine, theirs := d.Buckets(), peer.Buckets()
			for b := range mine {
				if mine[b] != theirs[b] {
					sent, received = append(sent, d.Bucket(b)...), append(received, peer.Bucket(b)...)
				}
			}
			peer.RecordState(now, d.Self())
			d.RecordState(now, peer.Self())
			peer.Merge(now, sent)
			d.Merge(now, received)
			entries += len(sent) + len(received)
		}
		for i, d := range directories[1:] {
			_, has := d.Lookup("node-0")
			if want := n - 1; now > forgottenBy && (has || d.Len() != want) || now <= crash && d.Len() != n {
				t.Fatalf("after %d s: directory %d has %d entries, node-0 among them: %v", now/gypsumrail.Second, i+1, d.Len(), has)
			}
		}
	}
	t.Logf("%.1f entries sent by a directory in a round", float64(entries)/(n*90*60))
}
