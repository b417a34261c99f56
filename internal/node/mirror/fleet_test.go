package mirror

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/client"
	"github.com/gypsumrail/gypsumrail/internal/node/source"
)

// clock is a gypsumrail.Clock on the time of the test.
type clock struct{ start time.Time }

func (c clock) Now() gypsumrail.Millis { return gypsumrail.MillisOf(time.Since(c.start)) }

// platform is a store with a history that answers at once. It can be down.
type platform struct {
	mu        sync.Mutex
	items     map[string]gypsumrail.Item
	history   []gypsumrail.Item
	revision  uint64
	changed   chan struct{}
	down      bool
	deaf      bool   // watches hear nothing
	stale     uint64 // revision of stale reads; 0: they do not lag
	deafTimes int    // deaf times that have ended
	losing    bool   // the next answer of a watch with changes is lost
	calls     int
	probes    int
}

func newPlatform() *platform {
	return &platform{items: make(map[string]gypsumrail.Item), changed: make(chan struct{})}
}

func (p *platform) change(key string, removed bool) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	item := gypsumrail.Item{Key: key, Revision: p.revision, Removed: removed}
	delete(p.items, key)
	if !removed {
		p.items[key] = item
	}
	p.history = append(p.history, item)
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// setDeaf makes all watches deaf. When that ends, the history is dropped and the watches
// that began before it are cut; those that began meanwhile stay deaf. From then on stale
// reads show the revision of before.
func (p *platform) setDeaf(deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf = deaf
	if deaf {
		p.stale = p.revision
		return
	}
	p.history = nil
	p.deafTimes++
	close(p.changed)
	p.changed = make(chan struct{})
}

// compact drops the history.
func (p *platform) compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
}

func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *platform) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *platform) Revision(_ context.Context, stale bool) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stale {
		p.probes++
	} else {
		p.calls++
	}
	if p.down {
		return 0, gypsumrail.ErrStoreUnavailable
	}
	if stale && p.stale > 0 && !p.deaf {
		return p.stale, nil
	}
	return p.revision, nil
}

func (p *platform) List(_ context.Context, prefix, _ string) (gypsumrail.Items, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		return gypsumrail.Items{}, gypsumrail.ErrStoreUnavailable
	}
	page := gypsumrail.Items{Revision: p.revision}
	for key, item := range p.items {
		if strings.HasPrefix(key, prefix) {
			page.List = append(page.List, item)
		}
	}
	return page, nil
}

func (p *platform) Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (gypsumrail.Items, error) {
	p.mu.Lock()
	p.calls++
	bornDeaf, deafTimes := p.deaf, p.deafTimes
	p.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		items, changed, err := gypsumrail.Items{Revision: p.revision}, p.changed, error(nil)
		deaf := p.deaf || bornDeaf
		switch {
		case p.down:
			err = gypsumrail.ErrStoreUnavailable
		case deaf:
		case p.deafTimes > deafTimes:
			err = gypsumrail.ErrStoreUnavailable
		case since < p.revision && (len(p.history) == 0 || p.history[0].Revision > since+1):
			err = gypsumrail.ErrHistoryGone
		}
		for _, item := range p.history {
			if item.Revision > since && strings.HasPrefix(item.Key, prefix) && !deaf {
				items.List = append(items.List, item)
			}
		}
		lost := p.losing && len(items.List) > 0
		p.losing = p.losing && !lost
		p.mu.Unlock()
		if lost {
			<-ctx.Done()
			return gypsumrail.Items{}, gypsumrail.ErrStoreUnavailable
		}
		if err != nil || len(items.List) > 0 {
			return items, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return items, nil
		case <-ctx.Done():
			return gypsumrail.Items{}, gypsumrail.ErrStoreUnavailable
		}
	}
}

// member is one node of a fleet: its follower, and what the test does to it.
type member struct {
	*Follower
	address string
	cancel  context.CancelFunc

	mu       sync.Mutex
	frozen   bool // answers nothing and gets no answers
	cut      bool // gets no answers from the store
	dead     bool
	healed   time.Time         // when the last of these ended
	seen     map[string]uint64 // revisions of the last delivered copy, by key
	revision uint64            // of the last delivered copy
	away     bool
}

// state returns what the test set.
func (m *member) state() (frozen, cut, dead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.frozen, m.cut, m.dead
}

func (m *member) set(change func(m *member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// path is the way from one member to the platform, or to a peer if to is set.
type path struct {
	fleet    *fleet
	from, to *member
}

// pass waits as a connection does on which nothing arrives, or fails as a closed one.
func (p path) pass(ctx context.Context) error {
	frozen, cut, _ := p.from.state()
	hangs := frozen
	if cut && p.to == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, client.StoreDialTimeout)
		defer cancel()
		hangs = true
	}
	if p.to != nil {
		frozen, _, dead := p.to.state()
		if dead {
			return gypsumrail.ErrStoreUnavailable
		}
		hangs = hangs || frozen
	}
	if hangs {
		<-ctx.Done()
		return gypsumrail.ErrStoreUnavailable
	}
	return nil
}

func (p path) store() gypsumrail.Store {
	if p.to != nil {
		return p.to
	}
	return p.fleet.platform
}

func (p path) List(ctx context.Context, prefix, after string) (gypsumrail.Items, error) {
	if err := p.pass(ctx); err != nil {
		return gypsumrail.Items{}, err
	}
	items, err := p.store().List(ctx, prefix, after)
	if lost := p.pass(ctx); lost != nil {
		return gypsumrail.Items{}, lost
	}
	return items, err
}

func (p path) Revision(ctx context.Context, stale bool) (uint64, error) {
	if err := p.pass(ctx); err != nil {
		return 0, err
	}
	revision, err := p.store().Revision(ctx, stale)
	if lost := p.pass(ctx); lost != nil {
		return 0, lost
	}
	return revision, err
}

func (p path) Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (gypsumrail.Items, error) {
	if err := p.pass(ctx); err != nil {
		return gypsumrail.Items{}, err
	}
	items, err := p.store().Changes(ctx, prefix, since, wait)
	if lost := p.pass(ctx); lost != nil {
		return gypsumrail.Items{}, lost
	}
	return items, err
}

// fleet is the nodes of one zone. Zones do not read from each other.
type fleet struct {
	t        *testing.T
	platform *platform
	began    time.Time

	mu      sync.Mutex // only the test's goroutine changes members, and reads them without it
	members []*member
}

// newFleet starts n nodes, each with an entry in the store, like a fleet that starts.
func newFleet(ctx context.Context, t *testing.T, n int) *fleet {
	f := &fleet{t: t, platform: newPlatform(), began: time.Now()}
	f.platform.change("r/1", false)
	for i := range n {
		f.start(ctx, i)
		f.platform.change("i/"+f.members[i].address, false)
	}
	return f
}

// start starts the node of index i, again if it is dead.
func (f *fleet) start(ctx context.Context, i int) {
	m := &member{address: fmt.Sprintf("10.0.0.%d:1", i+1), seen: make(map[string]uint64)}
	if i < len(f.members) {
		m.healed = time.Now()
	}
	ctx, m.cancel = context.WithCancel(ctx)
	f.mu.Lock()
	if i < len(f.members) {
		f.members[i] = m
	} else {
		f.members = append(f.members, m)
	}
	f.mu.Unlock()
	m.Follower = New(Settings{
		Store: path{fleet: f, from: m}, Sources: source.New(m.address, "z"), Clock: clock{f.began}, Wait: 15 * time.Second,
		Peers:   func(address string) gypsumrail.Store { return path{f, m, f.find(address)} },
		Contact: func(err error) { m.set(func(m *member) { m.away = err != nil }) },
	}, Part{Receive: func(items []gypsumrail.Item, revision uint64) { f.received(m, items, revision) }})
	go m.Run(ctx)
}

// find returns the member with an address.
func (f *fleet) find(address string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[slices.IndexFunc(f.members, func(m *member) bool { return m.address == address })]
}

// received checks that a delivered copy brings nothing back.
func (f *fleet) received(m *member, items []gypsumrail.Item, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]uint64)
	var list []gypsumrail.Instance
	for _, item := range items {
		seen[item.Key] = item.Revision
		if item.Revision < m.seen[item.Key] {
			f.t.Errorf("%s: %s went from revision %d back to %d", m.address, item.Key, m.seen[item.Key], item.Revision)
		}
		if _, known := m.seen[item.Key]; !known && item.Revision <= m.revision {
			f.t.Errorf("%s: %s of revision %d is back after revision %d", m.address, item.Key, item.Revision, m.revision)
		}
		if address, ok := strings.CutPrefix(item.Key, "i/"); ok {
			list = append(list, gypsumrail.Instance{Address: address, Zone: "z", State: gypsumrail.Live})
		}
	}
	m.seen, m.revision = seen, max(m.revision, revision)
	m.SetInstances(list)
}

func (f *fleet) stop() {
	for _, m := range f.members {
		m.cancel()
	}
}

// reader returns the index of the node that the others read from.
func (f *fleet) reader(t *testing.T) int {
	t.Helper()
	i := slices.IndexFunc(f.members, func(m *member) bool {
		m.Follower.mu.Lock()
		defer m.Follower.mu.Unlock()
		return m.sources.ReadsStore(clock{f.began}.Now())
	})
	if i < 0 {
		t.Fatal("no node reads the store")
	}
	return i
}

// checkApplied reports the nodes in touch that do not have the store's items.
func (f *fleet) checkApplied(t *testing.T, when string) {
	t.Helper()
	f.platform.mu.Lock()
	want := make(map[string]uint64)
	for key, item := range f.platform.items {
		want[key] = item.Revision
	}
	f.platform.mu.Unlock()
	for _, m := range f.members {
		m.mu.Lock()
		if !m.frozen && !m.cut && !m.dead && time.Since(m.healed) >= stableTime+appliedWithin {
			for _, key := range missing(want, m.seen) {
				t.Errorf("%s: %s does not have %s", when, m.address, key)
			}
		}
		m.mu.Unlock()
	}
}

// missing returns the keys whose revisions differ, sorted.
func missing(a, b map[string]uint64) []string {
	var keys []string
	for key := range a {
		if a[key] != b[key] {
			keys = append(keys, key)
		}
	}
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}

// Pattern: a fleet of hundreds starts, and then nothing happens. Guards against
// calls to the store that grow with the square of the fleet at its start, or with its
// size while nothing changes.
func TestCallsOfCalmFleet(t *testing.T) {
	for _, n := range []int{2, 40, 160} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, t, n)
				time.Sleep(5 * time.Second)
				if calls := f.platform.callCount(); calls > 8*n+30 {
					t.Errorf("the start cost %d calls of %d nodes", calls, n)
				}
				f.checkApplied(t, "after the start")
				before := f.platform.callCount()
				time.Sleep(20 * time.Second)
				if calls := f.platform.callCount() - before; calls > 20/4 {
					t.Errorf("20 s without a change cost %d calls", calls)
				}
				before = f.platform.callCount()
				for range 5 {
					f.platform.change("r/1", false)
					time.Sleep(time.Second)
				}
				if calls := f.platform.callCount() - before; calls > 5+2 {
					t.Errorf("5 changes in 5 s cost %d calls", calls)
				}
				f.checkApplied(t, "after the changes")
				f.stop()
			})
		})
	}
}

// appliedWithin is the time within which a change must be in force, by the platform's
// rules at the sizes of today.
const appliedWithin = 2 * time.Second

// stableTime is how long a node that was frozen, cut off or started has no bound, by
// the same rules.
const stableTime = 3 * time.Second

// fault is one thing that the test does to a fleet of three nodes.
type fault struct {
	name string
	do   func(ctx context.Context, f *fleet, reader int)
}

// faults are those of one node, the reader or the one that is asked next, and those of
// the store. A fault stays until the end of the sequence or its opposite.
var faults = []fault{
	{"freeze reader", func(_ context.Context, f *fleet, r int) { f.members[r].set(func(m *member) { m.frozen = true }) }},
	{"freeze another", func(_ context.Context, f *fleet, r int) {
		f.members[(r+1)%len(f.members)].set(func(m *member) { m.frozen = true })
	}},
	{"cut reader from store", func(_ context.Context, f *fleet, r int) { f.members[r].set(func(m *member) { m.cut = true }) }},
	{"cut another from store", func(_ context.Context, f *fleet, r int) {
		f.members[(r+2)%len(f.members)].set(func(m *member) { m.cut = true })
	}},
	{"kill reader", func(_ context.Context, f *fleet, r int) {
		f.members[r].cancel()
		f.members[r].set(func(m *member) { m.dead = true })
	}},
	{"restart the dead", func(ctx context.Context, f *fleet, _ int) {
		for i, m := range f.members {
			if _, _, dead := m.state(); dead {
				f.start(ctx, i)
			}
		}
	}},
	{"heal all", func(_ context.Context, f *fleet, _ int) {
		for _, m := range f.members {
			m.set(func(m *member) {
				if m.frozen || m.cut {
					m.frozen, m.cut, m.healed = false, false, time.Now()
				}
			})
		}
	}},
	{"store away and back", func(_ context.Context, f *fleet, _ int) {
		f.platform.setDown(true)
		time.Sleep(700 * time.Millisecond)
		f.platform.setDown(false)
	}},
	{"history dropped", func(_ context.Context, f *fleet, _ int) { f.platform.compact() }},
	{"remove and add", func(_ context.Context, f *fleet, _ int) {
		f.platform.change("x/1", true)
		f.platform.change("x/2", false)
	}},
}

var depth = flag.Int("depth", 3, "faults in a sequence of TestFaultsInEachOrder")

// Pattern: faults of readers and of the store in each order, with a change after each.
// Guards against a node in touch that gets a change late, and against a copy that
// brings back what was removed or replaced.
func TestFaultsInEachOrder(t *testing.T) {
	sequences := 1
	for range *depth {
		sequences *= len(faults)
	}
	for n := range sequences {
		var order []fault
		for i, rest := 0, n; i < *depth; i, rest = i+1, rest/len(faults) {
			order = append(order, faults[rest%len(faults)])
		}
		var names []string
		for _, fault := range order {
			names = append(names, fault.name)
		}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFleet(ctx, t, 3)
			time.Sleep(3 * time.Second)
			reader := f.reader(t)
			for i, fault := range order {
				fault.do(ctx, f, reader)
				f.platform.change("r/1", false)
				f.platform.change("x/1", i%2 == 1)
				time.Sleep(appliedWithin)
				f.checkApplied(t, strings.Join(names[:i+1], ", "))
			}
			f.stop()
		})
		if t.Failed() {
			return // the first sequence that fails is the one to look at
		}
	}
}

// Pattern: watches go deaf for a second in which something changes, then the store drops
// its history, and stale reads lag for many seconds. Guards against a zone that stays on an
// old configuration (CONFIG) because a probe had shown the change once, or because only
// stale reads reach its reader.
func TestDeafWatches(t *testing.T) {
	const deafTime = time.Second
	// The lead varies the age of the watch, which may also end by itself while all are deaf.
	for lead := 3 * time.Second; lead < 25*time.Second; lead += 700 * time.Millisecond {
		for at := 50 * time.Millisecond; at < deafTime; at += 220 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, t, 3)
				time.Sleep(lead)
				f.platform.setDeaf(true)
				time.Sleep(at)
				f.platform.change("r/1", false)
				time.Sleep(deafTime - at)
				f.platform.setDeaf(false)
				time.Sleep(stableTime)
				f.checkApplied(t, fmt.Sprintf("after a change %v into the deaf second, which began after %v", at, lead))
				f.stop()
			})
			if t.Failed() {
				return
			}
		}
	}
}

// Pattern: stale reads lag for many seconds and the answer of a watch is lost. Guards against
// a change that is not in force when the store counts as calm again.
func TestLostAnswerWhileReadsLag(t *testing.T) {
	for age := 2500 * time.Millisecond; age < 10*time.Second; age += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFleet(ctx, t, 3)
			time.Sleep(3 * time.Second)
			f.platform.setDeaf(true)
			f.platform.change("r/1", false)
			time.Sleep(time.Second)
			f.platform.setDeaf(false)
			time.Sleep(age)
			f.platform.mu.Lock()
			f.platform.losing = true
			f.platform.mu.Unlock()
			f.platform.change("r/1", false)
			time.Sleep(stableTime)
			f.checkApplied(t, "after a lost answer")
			f.stop()
		})
	}
}

// contactWithin is how long after the end of a cut a node may take to read the platform
// again. What the list lost during the cut is kept until 2 s after that, and must not
// be used 3 s after the end of the cut.
const contactWithin = time.Second

// Pattern: a zone is cut off from the platform, for each length of the cut. Guards against
// a node that hangs in a read that began during the cut, or that waits out a pause.
func TestContactAfterCut(t *testing.T) {
	for length := 500 * time.Millisecond; length <= 6*time.Second; length += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFleet(ctx, t, 6)
			time.Sleep(3 * time.Second)
			for _, m := range f.members {
				m.set(func(m *member) { m.cut = true })
			}
			time.Sleep(length)
			f.platform.change("x/1", false)
			for _, m := range f.members {
				m.set(func(m *member) { m.cut = false })
			}
			time.Sleep(contactWithin)
			f.checkApplied(t, "after a cut of "+length.String())
			for _, m := range f.members {
				m.mu.Lock()
				if m.away {
					t.Errorf("%s: no contact %v after a cut of %v", m.address, contactWithin, length)
				}
				m.mu.Unlock()
			}
			f.stop()
		})
	}
}

// Pattern: a node starts and loses the store soon afterwards. Guards against a pause
// between reads in which it does not yet know a peer to turn to.
func TestFirstInstancesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, t, 1)
		time.Sleep(5 * time.Millisecond)
		f.platform.change("i/10.0.0.9:1", false)
		time.Sleep(5 * time.Millisecond)
		f.checkApplied(t, "10 ms after the start")
	})
}
