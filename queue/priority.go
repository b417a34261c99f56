package queue

import (
	"github.com/google/btree"

	"github.com/gypsumrail/gypsumrail"
)

const (
	importanceCount = int(gypsumrail.ImportanceMax) + 1
	// degree of the B-trees: nodes of up to 63 pointers hold 1024 calls in two
	// levels.
	degree = 32
	// victimSteps bounds the search for a call of the majority account. That account
	// holds more than half of the calls, so the search takes two steps on average.
	// The bound is for an account that chooses its request names so that its calls
	// sort high. It also bounds the search for the lowest level in order of arrival.
	victimSteps = 64
)

// Priority is the admission queue; see the package comment for its order. It
// implements gypsumrail.Queue and is not safe for concurrent use.
type Priority struct {
	settings    Settings
	order       *btree.BTreeG[*entry]
	deadlines   *btree.BTreeG[*entry]
	byCall      map[gypsumrail.CallID]*entry
	freeEntries []*entry
	byArrival   [importanceCount]arrivalList
	perAccount  [importanceCount]accountCounts
	perLevel    levelCounts
	delay       minDelay
	sequence    uint64
	newestFirst bool
}

// New returns an empty queue.
func New(settings Settings) *Priority {
	settings = settings.withDefaults()
	order := runsBefore
	if settings.ArrivalOrder {
		order = arrivedBefore
	}
	q := &Priority{
		settings:  settings,
		order:     btree.NewG(degree, order),
		deadlines: btree.NewG(degree, expiresBefore),
		byCall:    make(map[gypsumrail.CallID]*entry),
		delay:     newMinDelay(settings.Window),
	}
	for i := range q.perAccount {
		q.perAccount[i].byAccount = make(map[string]int)
	}
	return q
}

// Push adds a call. If the queue is full, it evicts and returns one call of the
// lowest importance, which can be the new call. A call that is already queued
// stays unchanged. A level outside the valid range is clamped to it.
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

// Pop removes and returns the call that runs next. Calls below the given level
// stay queued. Pop may scan those of the importance of that level and, while the
// newest call runs first, also those of lower importance.
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

// Expire removes the calls whose deadline is less than need away and appends
// them to dst, the earliest deadline first.
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

// DropBelow removes the calls below the given importance and appends them to
// dst, the last in the order first. They are not departures for MinDelay.
func (q *Priority) DropBelow(importance gypsumrail.Importance, dst []gypsumrail.Waiting) []gypsumrail.Waiting {
	for {
		e, found := q.order.Max()
		if !found || e.importance >= int(importance) {
			return dst
		}
		dst = append(dst, q.remove(e))
	}
}

// Remove removes a call and reports whether it was queued. It does not count as a
// departure for MinDelay, because the caller left.
func (q *Priority) Remove(call gypsumrail.CallID) bool {
	e, found := q.byCall[call]
	if found {
		q.remove(e)
	}
	return found
}

// Ahead returns how many queued calls would run before a new call of this level.
// The invested work of that call is unknown here, so it is assumed equal to that
// of the queued calls. While the newest call runs first, only calls of a higher
// importance are ahead.
func (q *Priority) Ahead(level gypsumrail.Level) int {
	level = clampLevel(level)
	if q.newestFirst {
		level = level/gypsumrail.LevelsPerImportance*gypsumrail.LevelsPerImportance + gypsumrail.LevelsPerImportance
	}
	return q.order.Len() - q.perLevel.below(level)
}

// MinDelay returns the smallest standing delay of the last window, which is the
// smallest age that the oldest queued call had at a departure. Without a
// departure in the window it returns the present age of the oldest queued call,
// or 0 if the queue is empty.
func (q *Priority) MinDelay(now gypsumrail.Millis) gypsumrail.Millis {
	if delay, found := q.delay.smallest(now); found {
		return delay
	}
	return q.oldestAge(now)
}

// Len returns the number of queued calls.
func (q *Priority) Len() int { return q.order.Len() }

// updateOrder switches between the configured order and newest first within each
// importance.
func (q *Priority) updateOrder(now gypsumrail.Millis) {
	q.newestFirst = q.MinDelay(now) > q.settings.TargetDelay
}

// recordDelay samples the standing delay. It is called before a call departs.
func (q *Priority) recordDelay(now gypsumrail.Millis) { q.delay.add(now, q.oldestAge(now)) }

// oldestAge returns the age of the oldest queued call, or 0 if the queue is empty.
func (q *Priority) oldestAge(now gypsumrail.Millis) gypsumrail.Millis {
	age := gypsumrail.Millis(0)
	for i := range q.byArrival {
		if e := q.byArrival[i].oldest; e != nil {
			age = max(age, now-e.call.Arrived)
		}
	}
	return age
}

// next returns the call that Pop removes, or nil if none is at or above the level.
func (q *Priority) next(atLeast gypsumrail.Level) *entry {
	if q.newestFirst {
		for i := importanceCount - 1; i >= 0; i-- {
			for e := q.byArrival[i].newest; e != nil; e = e.older {
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

// victim returns the call to evict: the last in the order. If an account holds more
// than half of the calls of that importance, it is the last call of that account,
// unless the levels reflect the usage of accounts; see gypsumrail.Waiting.
func (q *Priority) victim() *entry {
	last, _ := q.order.Max()
	if last.call.ByLevel {
		return q.lowestOf(last)
	}
	account, found := q.perAccount[last.importance].majority()
	if !found {
		return last
	}
	victim, steps := last, 0
	q.order.Descend(func(e *entry) bool {
		steps++
		if e.importance != last.importance || steps > victimSteps {
			return false
		}
		if e.call.Account == account {
			victim = e
			return false
		}
		return true
	})
	return victim
}

// lowestOf returns the call with the lowest level among the last victimSteps of the
// importance of the last call. It is the last call itself unless
// the order is that of arrival.
func (q *Priority) lowestOf(last *entry) *entry {
	if !q.settings.ArrivalOrder {
		return last
	}
	lowest, steps := last, 0
	q.order.Descend(func(e *entry) bool {
		steps++
		if e.importance != last.importance || steps > victimSteps {
			return false
		}
		if e.call.Level < lowest.call.Level {
			lowest = e
		}
		return true
	})
	return lowest
}

func (q *Priority) insert(call gypsumrail.Waiting) *entry {
	var e *entry
	if n := len(q.freeEntries); n > 0 {
		e, q.freeEntries = q.freeEntries[n-1], q.freeEntries[:n-1]
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
	q.byArrival[e.importance].add(e)
	q.perAccount[e.importance].add(call.Account)
	q.perLevel.add(call.Level, 1)
	return e
}

func (q *Priority) remove(e *entry) gypsumrail.Waiting {
	call := e.call
	q.order.Delete(e)
	q.deadlines.Delete(e)
	delete(q.byCall, call.Call)
	q.byArrival[e.importance].remove(e)
	q.perAccount[e.importance].remove(call.Account)
	q.perLevel.add(call.Level, -1)
	e.call = gypsumrail.Waiting{}
	q.freeEntries = append(q.freeEntries, e)
	return call
}

// Walk calls visit for each queued call in the order of the queue, also while the newest
// call runs first.
func (q *Priority) Walk(visit func(call *gypsumrail.Waiting)) {
	q.order.Ascend(func(e *entry) bool {
		visit(&e.call)
		return true
	})
}
