package member_test

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/member"
)

// run identifies one run of an instance, as one directory knows it.
type run struct {
	directory   int
	name        string
	incarnation gypsumrail.Incarnation
}

// message is a list of entries on its way to a directory.
type message struct {
	to      int
	entries []gypsumrail.Instance
}

// network is a few directories and the messages between them, which can be lost,
// repeated and reordered.
type network struct {
	now         gypsumrail.Millis
	directories []*member.Directory
	own         []gypsumrail.Instance // expected self entry of each directory
	leaving     map[run]bool          // whether a directory knew a run as leaving
	inFlight    []message
	lists       [][]gypsumrail.Instance // revisions of the platform's list
	read        []int                   // per directory, the number of revisions that it has read or skipped
}

func (w *network) names() []string {
	names := []string{"other-0", "other-1", "other-2", "listed"}
	for _, own := range w.own {
		names = append(names, own.Name)
	}
	return names
}

// check fails if a directory that knew a run as leaving does so no longer, or if a
// self entry changed in anything but its version and its own leaving mark.
func (w *network) check(t *rapid.T) {
	for at, d := range w.directories {
		for _, name := range w.names() {
			i, _ := d.Lookup(name)
			r := run{at, name, i.Incarnation}
			if w.leaving[r] && i.State != gypsumrail.Leaving {
				t.Fatalf("directory %d revived %+v", at, i)
			}
			w.leaving[r] = i.State == gypsumrail.Leaving
		}
		self := d.Self()
		if self.Version < w.own[at].Version {
			t.Fatalf("version of %s went back from %d to %d", self.Name, w.own[at].Version, self.Version)
		}
		w.own[at].Version = self.Version
		if stored, _ := d.Lookup(self.Name); self != w.own[at] || stored != self {
			t.Fatalf("self entry %+v, stored %+v, want %+v", self, stored, w.own[at])
		}
	}
}

// deliver merges message i at its receiver. With keep, it can be delivered again.
func (w *network) deliver(i int, keep bool) {
	m := w.inFlight[i]
	if !keep {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	w.directories[m.to].Merge(w.now, m.entries)
}

// sync lets two directories exchange all differing buckets.
func (w *network) sync(a, b *member.Directory) {
	bucketsA, bucketsB := a.Buckets(), b.Buckets()
	for i := range bucketsA {
		if bucketsA[i] != bucketsB[i] {
			mine, others := a.Bucket(i), b.Bucket(i)
			a.Merge(w.now, others)
			b.Merge(w.now, mine)
		}
	}
}

// Fails if directories stay different after they received the same entries in
// different orders, if a run that left becomes live again, or if others overwrite a
// self entry.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &network{leaving: map[run]bool{}}
		n := rapid.IntRange(2, 5).Draw(t, "directories")
		for i := range n {
			w.own = append(w.own, instance(fmt.Sprintf("node-%d", i)))
			w.directories = append(w.directories, member.New(w.own[i], member.Settings{}))
			w.read = append(w.read, 0)
		}
		index := rapid.IntRange(0, n-1)
		// Conflicting entries of instances without a directory. All fields are
		// from small sets, so that ties happen.
		other := rapid.Custom(func(t *rapid.T) gypsumrail.Instance {
			i := instance(fmt.Sprintf("other-%d", rapid.IntRange(0, 2).Draw(t, "other")))
			i.Incarnation = startedAt(rapid.IntRange(0, 2).Draw(t, "start"))
			i.Version = rapid.Uint64Range(0, 3).Draw(t, "version")
			i.State = rapid.SampledFrom([]gypsumrail.State{gypsumrail.Live, gypsumrail.Suspect, gypsumrail.Leaving}).Draw(t, "state")
			i.Address = rapid.SampledFrom([]string{"p:1", "q:1"}).Draw(t, "address")
			return i
		})
		t.Repeat(map[string]func(*rapid.T){
			"leave": func(t *rapid.T) {
				i := index.Draw(t, "node")
				w.directories[i].Leave(w.now)
				w.own[i].State = gypsumrail.Leaving
			},
			"restart": func(t *rapid.T) {
				i := index.Draw(t, "node")
				w.own[i].Incarnation += 1 << 20
				w.own[i].State, w.own[i].Version = gypsumrail.Live, 1
				w.directories[i] = member.New(w.own[i], member.Settings{})
				for r := range w.leaving {
					if r.directory == i {
						delete(w.leaving, r)
					}
				}
			},
			"suspect": func(t *rapid.T) {
				w.directories[index.Draw(t, "node")].MarkSuspect(w.now, rapid.SampledFrom(w.names()).Draw(t, "of"))
			},
			"hear": func(t *rapid.T) {
				w.directories[index.Draw(t, "node")].Merge(w.now, []gypsumrail.Instance{other.Draw(t, "news")})
			},
			"observe": func(t *rapid.T) {
				from := index.Draw(t, "from")
				w.directories[index.Draw(t, "node")].RecordState(w.now, w.directories[from].Self())
			},
			"publish": func(t *rapid.T) {
				// The platform knows incarnations of some instances only.
				listed := other.Draw(t, "listed")
				if rapid.Bool().Draw(t, "without incarnation") {
					listed.Name = rapid.SampledFrom([]string{"other-0", "listed"}).Draw(t, "name")
					listed.Incarnation, listed.Version = 0, 0
				}
				w.lists = append(w.lists, []gypsumrail.Instance{listed})
			},
			"read": func(t *rapid.T) {
				i := index.Draw(t, "node")
				if w.read[i] < len(w.lists) {
					next := rapid.IntRange(w.read[i], len(w.lists)-1).Draw(t, "revision")
					w.directories[i].MergeList(w.now, w.lists[next])
					w.read[i] = next + 1
				}
			},
			"send": func(t *rapid.T) {
				from := w.directories[index.Draw(t, "from")]
				entries := from.Rumors(w.now, 3)
				if rapid.Bool().Draw(t, "bucket") {
					entries = from.Bucket(rapid.IntRange(0, gypsumrail.DigestBuckets-1).Draw(t, "number"))
				}
				w.inFlight = append(w.inFlight, message{index.Draw(t, "to"), entries})
			},
			"deliver": func(t *rapid.T) {
				if len(w.inFlight) > 0 {
					w.deliver(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "keep"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(w.inFlight) > 0 {
					i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
					w.inFlight = slices.Delete(w.inFlight, i, i+1)
				}
			},
			"": func(t *rapid.T) {
				w.now += 10
				w.check(t)
			},
		})
		for i, d := range w.directories {
			if w.read[i] < len(w.lists) {
				d.MergeList(w.now, w.lists[len(w.lists)-1])
			}
		}
		// After two passes every directory has received every entry. The third
		// pass carries the refutations of suspicions.
		for range 3 {
			for a := range n {
				for b := range n {
					w.sync(w.directories[a], w.directories[b])
				}
			}
		}
		w.check(t)
		for i, d := range w.directories {
			for bucket := range gypsumrail.DigestBuckets {
				if diff := cmp.Diff(w.directories[0].Bucket(bucket), d.Bucket(bucket)); diff != "" {
					t.Fatalf("bucket %d of directories 0 and %d differs:\n%s", bucket, i, diff)
				}
			}
			if w.directories[0].Buckets() != d.Buckets() {
				t.Fatalf("equal contents have different hashes")
			}
			if i := w.own[i]; i.State == gypsumrail.Live {
				if got, _ := w.directories[0].Lookup(i.Name); got.State == gypsumrail.Suspect {
					t.Fatalf("%s is still suspect after it received the suspicion", i.Name)
				}
			}
		}
	})
}

// fleet returns n directories that know each other and have no rumors left to send.
func fleet(n int) []*member.Directory {
	all := make([]gypsumrail.Instance, n)
	for i := range all {
		all[i] = instance(fmt.Sprintf("node-%d", i))
	}
	directories := make([]*member.Directory, n)
	for i := range directories {
		directories[i] = member.New(all[i], member.Settings{})
		directories[i].MergeList(0, all)
		for len(directories[i].Rumors(0, n)) > 0 {
			continue
		}
	}
	return directories
}

// mode is what an exchange sends and how much of it is lost.
type mode struct {
	name            string
	rumors, digests bool
	lost            float64 // share of the messages in each direction
}

// disseminate lets each directory start one exchange per round until all know that
// node-0 leaves. Entries received in a round are sent on in the next. It returns
// the number of rounds and of the entries sent in all of them.
func disseminate(directories []*member.Directory, random *rand.Rand, m mode) (rounds, entries int) {
	byName := map[string]*member.Directory{}
	for _, d := range directories {
		byName[d.Self().Name] = d
	}
	directories[0].Leave(0)
	now := gypsumrail.Millis(0)
	send := func(arrivals *[]func(), to *member.Directory, list []gypsumrail.Instance) {
		entries += len(list)
		if random.Float64() >= m.lost {
			*arrivals = append(*arrivals, func() { to.Merge(now, list) })
		}
	}
	unaware := func(d *member.Directory) bool {
		i, _ := d.Lookup("node-0")
		return i.State != gypsumrail.Leaving
	}
	for ; slices.ContainsFunc(directories, unaware) && rounds < 100; rounds++ {
		now += gypsumrail.Second
		var arrivals []func()
		for _, d := range directories {
			partner, ok := d.Partner(random.Uint64())
			if !ok {
				continue
			}
			peer := byName[partner.Name]
			if m.rumors {
				send(&arrivals, peer, d.Rumors(now, 32))
				send(&arrivals, d, peer.Rumors(now, 32))
			}
			mine, theirs := d.Buckets(), peer.Buckets()
			for i := range mine {
				if m.digests && mine[i] != theirs[i] {
					send(&arrivals, d, peer.Bucket(i))
				}
			}
		}
		for _, arrive := range arrivals {
			arrive()
		}
	}
	return rounds, entries
}

// Fails if rumors or digests need more than a few rounds to reach all directories,
// or if rumors stop before that, also with half of the messages lost. Digests must
// reach all on their own, because they replace lost rumors.
func TestRounds(t *testing.T) {
	modes := []mode{
		{"rumors", true, false, 0},
		{"rumors, half of the messages lost", true, false, 0.5},
		{"digests", false, true, 0},
		{"rumors and digests", true, true, 0},
	}
	for _, m := range modes {
		for _, n := range []int{10, 40, 160, 640} {
			rounds, entries := disseminate(fleet(n), rand.New(rand.NewPCG(1, uint64(n))), m)
			t.Logf("%s: %d directories: all know after %d rounds, %.1f entries sent by a directory in a round",
				m.name, n, rounds, float64(entries)/float64(n*rounds))
			// About 2·log2(n), and 4·log2(n) if half of the messages are lost.
			bound := 2 * bits.Len(uint(n))
			if m.lost > 0 {
				bound *= 2
			}
			if rounds > bound {
				t.Errorf("%s: %d directories: %d rounds, more than %d", m.name, n, rounds, bound)
			}
		}
	}
}

// Fails if a directory sends a rumor more often than sendsMax, or more than 32
// entries in one message.
func TestRumorsBounded(t *testing.T) {
	d := fleet(100)[0]
	for i := 1; i < 100; i++ {
		d.MarkSuspect(0, fmt.Sprintf("node-%d", i))
	}
	sends := map[string]int{}
	for range 1000 {
		rumors := d.Rumors(0, 1000)
		if len(rumors) > 32 {
			t.Fatalf("%d entries in a message", len(rumors))
		}
		for _, i := range rumors {
			sends[i.Name]++
		}
	}
	for name, n := range sends {
		if n != 21 { // 3 times the 7 binary digits of 100
			t.Errorf("%s was sent %d times", name, n)
		}
	}
	if len(sends) != 99 || len(d.Rumors(0, 0)) != 0 {
		t.Errorf("%d rumors", len(sends))
	}
}

// Fails if two sides of a partition that suspect each other stay separated
// afterwards, because each exchanges only with instances that it takes to be live.
func TestPartitionHeals(t *testing.T) {
	directories := fleet(10)
	for i, d := range directories {
		for j := range directories {
			if i%2 != j%2 {
				d.MarkSuspect(0, fmt.Sprintf("node-%d", j))
			}
		}
	}
	w := &network{directories: directories}
	random := rand.New(rand.NewPCG(3, 4))
	suspicions := func() (n int) {
		for _, d := range directories {
			for _, i := range d.Upstreams("front") {
				if i.State != gypsumrail.Live {
					n++
				}
			}
		}
		return n
	}
	for round := 0; suspicions() > 0; round++ {
		if round == 100 {
			t.Fatalf("%d suspicions are left after %d rounds", suspicions(), round)
		}
		for _, d := range directories {
			partner, _ := d.Partner(random.Uint64())
			var at int
			_, _ = fmt.Sscanf(partner.Name, "node-%d", &at)
			w.sync(d, directories[at])
		}
	}
}

func BenchmarkExchange(b *testing.B) {
	directories := fleet(640)
	random := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		d := directories[0]
		partner, _ := d.Partner(random.Uint64())
		d.MarkSuspect(0, partner.Name)
		d.Merge(0, directories[1].Rumors(0, 32))
		d.Rumors(0, 32)
		d.Buckets()
	}
}
