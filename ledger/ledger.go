// Package ledger decides whether an attempt of a non-repeatable request may run.
//
// There is no disk and no shared store, and partitions happen. The idempotency
// key of such a request therefore names its home: the one instance and
// incarnation that may run it. The ledger of the home records for each key
// whether an attempt started and the highest attempt that it refused. The
// refusal is a tombstone: a copy of a refused attempt that arrives late does not
// start, which makes the outcome "not run" final.
//
// Memory is bounded in time and in size. A key carries the epoch (a minute of
// the home's monotonic clock) in which it was issued. The home accepts keys of
// the last Window epochs and keeps their entries until the epoch leaves the
// window. It evicts nothing earlier, because an evicted key could run twice.
// When the number of entries reaches the bound, the home closes the current and
// all earlier epochs: it refuses their keys that have no entry permanently, and
// needs no memory per key for that.
//
// A ledger starts empty. It must not be reused under the incarnation of an
// earlier process, because it does not know which attempts that process started.
package ledger

import "github.com/gypsumrail/gypsumrail"

const (
	// EpochLength is the length of an epoch.
	EpochLength = gypsumrail.Minute
	// Window is the number of epochs whose keys are accepted, the current one
	// included.
	Window = 10
)

// defaultEntriesMax is sized for the planned fleet. A node there serves about
// 340 calls/s; if 60 % of them carried keys, ten minutes would hold about
// 123,000 entries.
const defaultEntriesMax = 1 << 17

// Settings bound a ledger. Zero values take the defaults.
type Settings struct {
	EntriesMax int // keys with an entry; default 131,072
}

// Ledger implements gypsumrail.Ledger. It is not safe for concurrent use.
type Ledger struct {
	self       gypsumrail.Instance
	entriesMax int

	// epoch is the highest epoch seen. An earlier time does not lower it, because
	// that would reopen the window for keys that already expired.
	epoch uint32
	// firstOpen is the first epoch that accepts new keys. It has more bits than an
	// epoch, so that closing the last epoch does not wrap around.
	firstOpen uint64
	// entries has one map per epoch of the window, at the index epoch % Window, so
	// that an epoch expires without a visit to each entry.
	entries [Window]map[nonce]entry
	len     int
}

var _ gypsumrail.Ledger = (*Ledger)(nil)

// New returns an empty ledger for keys whose home is the name and incarnation of self.
func New(self gypsumrail.Instance, settings Settings) *Ledger {
	if settings.EntriesMax <= 0 {
		settings.EntriesMax = defaultEntriesMax
	}
	return &Ledger{self: self, entriesMax: settings.EntriesMax}
}

// Epoch returns the current epoch: now in whole minutes, and at least the epoch
// of every earlier call of any method.
func (l *Ledger) Epoch(now gypsumrail.Millis) uint32 {
	l.advance(now)
	return l.epoch
}

// Start records an attempt as started and returns VerdictStart if it may run:
// its key is of this home and in the window, no attempt of the key is running or
// ran, no tombstone covers it, and a key without an entry is of an open epoch. Any
// other verdict gives the reason for the refusal.
func (l *Ledger) Start(now gypsumrail.Millis, key gypsumrail.Key, attempt gypsumrail.HomeAttempt) gypsumrail.Verdict {
	id, current, verdict := l.lookup(now, key, attempt)
	if verdict != gypsumrail.VerdictStart {
		return verdict
	}
	current.phase = running
	current.started = attempt
	l.put(key.Epoch, id, current)
	return gypsumrail.VerdictStart
}

// Refuse records a tombstone: the given attempt and lower ones will not start.
// If no attempt of the key runs or ran, it returns VerdictRefused, or
// VerdictFull if the key is refused permanently. With VerdictRunning, the running
// attempt goes on, and the tombstone applies if that attempt ends as NotRun. A
// verdict other than VerdictRefused and VerdictRunning means that nothing was
// recorded.
func (l *Ledger) Refuse(now gypsumrail.Millis, key gypsumrail.Key, attempt gypsumrail.HomeAttempt) gypsumrail.Verdict {
	id, current, verdict := l.lookup(now, key, attempt)
	switch verdict {
	case gypsumrail.VerdictStart, gypsumrail.VerdictRefused, gypsumrail.VerdictRunning:
		current.refused = max(current.refused, attempt)
		l.put(key.Epoch, id, current)
	}
	if verdict == gypsumrail.VerdictStart {
		return gypsumrail.VerdictRefused
	}
	return verdict
}

// Finish records the outcome of the running attempt of a key. A higher attempt
// may start only after NotRun; after any other outcome, Unknown included, no
// attempt of the key starts again. Without a running attempt, or if the key has
// expired, Finish has no effect. It must be called once for each start: the key
// does not tell which attempt ended, so a second call could end a later attempt.
func (l *Ledger) Finish(now gypsumrail.Millis, key gypsumrail.Key, outcome gypsumrail.Outcome) {
	id, current, verdict := l.lookup(now, key, 0)
	if verdict != gypsumrail.VerdictRunning {
		return
	}
	if outcome == gypsumrail.NotRun {
		current.phase = idle
		current.refused = max(current.refused, current.started)
	} else {
		current.phase = done
	}
	l.put(key.Epoch, id, current)
}

// State returns the verdict that Start would return, without recording anything.
func (l *Ledger) State(now gypsumrail.Millis, key gypsumrail.Key, attempt gypsumrail.HomeAttempt) gypsumrail.Verdict {
	_, _, verdict := l.lookup(now, key, attempt)
	return verdict
}

// Expire drops the entries of epochs that left the window. Every other method
// that receives a time does so too; Expire frees the memory while no calls arrive.
func (l *Ledger) Expire(now gypsumrail.Millis) { l.advance(now) }

// Len returns the number of entries, at most Settings.EntriesMax.
func (l *Ledger) Len() int { return l.len }

// lookup returns the nonce and the entry of a key, and the verdict on starting
// the attempt. The phase of the entry takes precedence over its tombstone: once
// an attempt runs or ran, the verdict is never VerdictRefused.
func (l *Ledger) lookup(now gypsumrail.Millis, key gypsumrail.Key, attempt gypsumrail.HomeAttempt) (nonce, entry, gypsumrail.Verdict) {
	l.advance(now)
	if key.Home != l.self.Name || key.Incarnation != l.self.Incarnation {
		return nonce{}, entry{}, gypsumrail.VerdictForeign
	}
	id, err := parseNonce(key.Nonce)
	if err != nil || key.Epoch > l.epoch {
		return nonce{}, entry{}, gypsumrail.VerdictInvalid
	}
	if l.epoch-key.Epoch >= Window {
		return nonce{}, entry{}, gypsumrail.VerdictExpired
	}
	current, found := l.entries[key.Epoch%Window][id]
	switch {
	case !found && uint64(key.Epoch) < l.firstOpen:
		return id, current, gypsumrail.VerdictFull
	case !found:
		return id, current, gypsumrail.VerdictStart
	case current.phase == running:
		return id, current, gypsumrail.VerdictRunning
	case current.phase == done:
		return id, current, gypsumrail.VerdictDone
	case attempt <= current.refused:
		return id, current, gypsumrail.VerdictRefused
	}
	return id, current, gypsumrail.VerdictStart
}
