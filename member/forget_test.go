package member_test

import (
	"math/rand/v2"
	"testing"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/member"
)

// Guards against an instance that stopped without a word and that peers bring
// back to each other, and against live instances that are forgotten, in a fleet
// whose list names half of them.
func TestForgottenEverywhere(t *testing.T) {
	const n, stop, bound = 20, 5 * gypsumrail.Minute, 16 * gypsumrail.Minute
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
	random := rand.New(rand.NewPCG(5, 6))
	entries := 0
	for now := gypsumrail.Second; now < 90*gypsumrail.Minute; now += gypsumrail.Second {
		for i, d := range directories {
			partner, _ := d.Partner(random.Uint64())
			peer := byName[partner.Name]
			if now > stop && i == 0 {
				continue
			}
			if now > stop && peer == directories[0] {
				d.MarkSuspect(now, partner.Name)
				continue
			}
			there, back := d.Rumors(now, 32), peer.Rumors(now, 32)
			mine, theirs := d.Buckets(), peer.Buckets()
			for b := range mine {
				if mine[b] != theirs[b] {
					there, back = append(there, d.Bucket(b)...), append(back, peer.Bucket(b)...)
				}
			}
			peer.Observe(now, d.Self())
			d.Observe(now, peer.Self())
			peer.Merge(now, there)
			d.Merge(now, back)
			entries += len(there) + len(back)
		}
		for i, d := range directories[1:] {
			_, has := d.Lookup("node-0")
			if want := n - 1; now > bound && (has || d.Len() != want) || now <= stop && d.Len() != n {
				t.Fatalf("after %d s: directory %d has %d entries, node-0 among them: %v", now/gypsumrail.Second, i+1, d.Len(), has)
			}
		}
	}
	t.Logf("%.1f entries sent by a directory in a round", float64(entries)/(n*90*60))
}
