package queue

import (
	"github.com/google/btree"

	"github.com/gypsumrail/gypsumrail"
)

const (
	importances = int(gypsumrail.ImportanceMax) + 1
	// degree of the trees: nodes of up to 63 pointers keep 1024 calls in two levels.
	degree = 32
	// victimSteps bounds the search for a call of the largest tenant. That tenant
	// holds more than half of the calls, so the search ends after two steps on
	// average; the bound covers a tenant that chooses its request names so that
	// its calls sort high.
	victimSteps = 64
)

// Priority is the admission queue. It implements gypsumrail.Queue and is not
// safe for concurrent use.
type Priority struct {
	settings    Settings
	order       *btree.BTreeG[*entry]
	deadlines   *btree.BTreeG[*entry]
	byCall      map[gypsumrail.CallID]*entry
	free        []*entry
	arrived     [importances]arrivals
	tenants     [importances]tenantCounts
	levels      levelCounts
	delay       minDelay
	sequence    uint64
	newestFirst bool
}

// New returns an empty queue.
func New(settings Settings) *Priority {
	settings = settings.withDefaults()
	order := runsBefore
	if settings.InTurn {
		order = arrivedBefore
	}
	q := &Priority{
		settings:  settings,
		order:     btree.NewG(degree, order),
		deadlines: btree.NewG(degree, endsBefore),
		byCall:    make(map[gypsumrail.CallID]*entry),
		delay:     newMinDelay(settings.Window),
	}
	for i := range q.tenants {
		q.tenants[i].byTenant = make(map[string]int)
	}
	return q
}

// Push adds a call. If the queue is full, the least important of the queued
// calls and the new one is returned as evicted. A call that is already queued
// is left as it is. Levels outside the valid range count as the nearest valid one.
func (q *Priority) Push(now gypsumrail.Millis, call gypsumrail.Waiting) (evicted gypsumrail.Waiting, full bool) {
	if _, queued := q.byCall[call.Call]; queued {
		return gypsumrail.Waiting{}, false
	}
	q.updateOrder(now)
	e := q.insert(call)
	if q.order.Len() <= q.settings.Capacity {
		return gypsumrail.Waiting{}, false
	}
	victim := q.victim()
	if victim != e {
		q.recordDelay(now)
	}
	return q.remove(victim), true
}

// Pop removes the call that runs next. Calls below the given level stay. A
// level that is not the lowest of its importance costs a walk over the calls of
// that one importance that stay.
func (q *Priority) Pop(now gypsumrail.Millis, atLeast gypsumrail.Level) (gypsumrail.Waiting, bool) {
	q.updateOrder(now)
	e := q.next(atLeast)
	if e == nil {
		return gypsumrail.Waiting{}, false
	}
	q.recordDelay(now)
	call := q.remove(e)
	if q.order.Len() == 0 {
		// An empty queue has no standing delay, even if its last call waited.
		q.delay.add(now, 0)
	}
	return call, true
}

// Expire removes the calls that have less than need time left and appends them
// to dst, the earliest deadline first.
func (q *Priority) Expire(now, need gypsumrail.Millis, dst []gypsumrail.Waiting) []gypsumrail.Waiting {
	for {
		e, found := q.deadlines.Min()
		if !found || e.call.Deadline-now >= need {
			return dst
		}
		q.recordDelay(now)
		dst = append(dst, q.remove(e))
	}
}

// DropBelow removes the calls of a lower importance, the last to run first, and
// appends them to dst. They do not count for MinDelay.
func (q *Priority) DropBelow(importance gypsumrail.Importance, dst []gypsumrail.Waiting) []gypsumrail.Waiting {
	for {
		e, found := q.order.Max()
		if !found || e.importance >= int(importance) {
			return dst
		}
		dst = append(dst, q.remove(e))
	}
}

// Remove removes one call and reports whether it was queued. It does not count
// as a departure for MinDelay, because the caller left.
func (q *Priority) Remove(call gypsumrail.CallID) bool {
	e, found := q.byCall[call]
	if found {
		q.remove(e)
	}
	return found
}

// Ahead returns how many queued calls would run before a call of this level.
// The invested work of that call is not known here; it counts as equal to that
// of the queued calls. While the newest call runs first, only calls of a higher
// importance are ahead.
func (q *Priority) Ahead(level gypsumrail.Level) int {
	level = clampLevel(level)
	if q.newestFirst {
		level = level/gypsumrail.LevelsPerImportance*gypsumrail.LevelsPerImportance + gypsumrail.LevelsPerImportance
	}
	return q.order.Len() - q.levels.below(level)
}

// MinDelay returns the smallest standing delay of the last window: the age of
// the oldest queued call at each departure, or its present age if no call left.
func (q *Priority) MinDelay(now gypsumrail.Millis) gypsumrail.Millis {
	if delay, found := q.delay.smallest(now); found {
		return delay
	}
	return q.age(now)
}

// Len returns the number of queued calls.
func (q *Priority) Len() int { return q.order.Len() }

// updateOrder decides whether the newest call of each importance runs first.
func (q *Priority) updateOrder(now gypsumrail.Millis) {
	q.newestFirst = q.MinDelay(now) > q.settings.Target
}

func (q *Priority) recordDelay(now gypsumrail.Millis) { q.delay.add(now, q.age(now)) }

// age returns the age of the oldest queued call.
func (q *Priority) age(now gypsumrail.Millis) gypsumrail.Millis {
	age := gypsumrail.Millis(0)
	for i := range q.arrived {
		if e := q.arrived[i].oldest; e != nil {
			age = max(age, now-e.call.Arrived)
		}
	}
	return age
}

func (q *Priority) next(atLeast gypsumrail.Level) *entry {
	if q.newestFirst {
		for i := importances - 1; i >= 0; i-- {
			for e := q.arrived[i].newest; e != nil; e = e.older {
				if e.call.Level >= atLeast {
					return e
				}
			}
		}
		return nil
	}
	var next *entry
	lowest := int(atLeast / gypsumrail.LevelsPerImportance)
	q.order.Ascend(func(e *entry) bool {
		if e.call.Level >= atLeast {
			next = e
		}
		return next == nil && e.importance >= lowest
	})
	return next
}

// victim returns the call to evict: the last in the order, or the last of the
// tenant that holds most of the calls of the same importance.
func (q *Priority) victim() *entry {
	last, _ := q.order.Max()
	tenant, found := q.tenants[last.importance].majority()
	if !found {
		return last
	}
	victim, steps := last, 0
	q.order.Descend(func(e *entry) bool {
		steps++
		if e.importance != last.importance || steps > victimSteps {
			return false
		}
		if e.call.Tenant == tenant {
			victim = e
			return false
		}
		return true
	})
	return victim
}

func (q *Priority) insert(call gypsumrail.Waiting) *entry {
	var e *entry
	if n := len(q.free); n > 0 {
		e, q.free = q.free[n-1], q.free[:n-1]
	} else {
		e = new(entry)
	}
	q.sequence++
	call.Level = clampLevel(call.Level)
	e.call, e.sequence = call, q.sequence
	e.importance = int(call.Level / gypsumrail.LevelsPerImportance)
	q.order.ReplaceOrInsert(e)
	q.deadlines.ReplaceOrInsert(e)
	q.byCall[call.Call] = e
	q.arrived[e.importance].add(e)
	q.tenants[e.importance].add(call.Tenant)
	q.levels.add(call.Level, 1)
	return e
}

func (q *Priority) remove(e *entry) gypsumrail.Waiting {
	call := e.call
	q.order.Delete(e)
	q.deadlines.Delete(e)
	delete(q.byCall, call.Call)
	q.arrived[e.importance].remove(e)
	q.tenants[e.importance].remove(call.Tenant)
	q.levels.add(call.Level, -1)
	e.call = gypsumrail.Waiting{}
	q.free = append(q.free, e)
	return call
}
