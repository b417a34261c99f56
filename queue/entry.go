package queue

import "github.com/gypsumrail/gypsumrail"

// entry is one queued call. Entries are reused, so that the queue allocates only
// while it grows.
type entry struct {
	call       gypsumrail.Waiting
	importance int
	sequence   uint64 // order of arrival in the queue
	older      *entry // neighbours in the arrivalList of the same importance
	newer      *entry
}

// runsBefore orders by importance, invested work, level (within one importance:
// the hash of the user request) and arrival.
func runsBefore(a, b *entry) bool {
	switch {
	case a.importance != b.importance:
		return a.importance > b.importance
	case a.call.Invested != b.call.Invested:
		return a.call.Invested > b.call.Invested
	case a.call.Level != b.call.Level:
		return a.call.Level > b.call.Level
	}
	return a.sequence < b.sequence
}

// arrivedBefore orders by importance and arrival.
func arrivedBefore(a, b *entry) bool {
	if a.importance != b.importance {
		return a.importance > b.importance
	}
	return a.sequence < b.sequence
}

// expiresBefore orders by deadline and arrival.
func expiresBefore(a, b *entry) bool {
	if a.call.Deadline != b.call.Deadline {
		return a.call.Deadline < b.call.Deadline
	}
	return a.sequence < b.sequence
}

// arrivalList is a doubly linked list of the calls of one importance.
type arrivalList struct {
	oldest, newest *entry
}

func (l *arrivalList) add(e *entry) {
	e.older, e.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = e
	} else {
		l.oldest = e
	}
	l.newest = e
}

func (l *arrivalList) remove(e *entry) {
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		l.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		l.newest = e.older
	}
	e.older, e.newer = nil, nil
}
