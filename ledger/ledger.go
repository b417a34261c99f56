// Package ledger decides at the home of a non-repeatable request whether an
// attempt may run.
//
// There is no disk and no shared store, and partitions happen, so the key of
// such a request names the one instance and incarnation that may run it. That
// instance remembers for each key whether an attempt started and up to which
// attempt it refused. A refused attempt leaves a tombstone: a copy of it that
// arrives late does not start, which makes the outcome "not run" final.
//
// Memory is bounded in time and in size. A key carries the epoch (a minute of
// the home's monotonic clock) in which it was issued. The home accepts keys of
// the last Window epochs and keeps their entries until the epoch leaves the
// window; nothing is evicted earlier, because an evicted key could run twice.
// When the number of entries reaches the bound, the current and all earlier
// epochs are closed: their keys that have no entry are refused for good, and
// that rule needs no memory per key.
//
// A ledger starts empty. It must not be reused under the incarnation of an
// earlier run, because it does not know what that run started.
package ledger

import "github.com/gypsumrail/gypsumrail"

const (
	// EpochLength is the length of an epoch.
	EpochLength = gypsumrail.Minute
	// Window is the number of epochs whose keys are accepted: the current one
	// and the ones before it.
	Window = 10
)

// defaultEntriesMax is sized for the target fleet. A node there serves about
// 340 calls/s; if 60 % of them carried keys, ten minutes would hold about
// 123,000 entries.
const defaultEntriesMax = 1 << 17

// Settings bound a ledger. Zero values take the defaults.
type Settings struct {
	EntriesMax int // keys held at once; default 131,072
}

// Ledger implements gypsumrail.Ledger. It is not safe for concurrent use.
type Ledger struct {
	self       gypsumrail.Instance
	entriesMax int

	// epoch is the highest one seen. A call with an earlier time does not move
	// it back, which would reopen the window for keys that already expired.
	epoch uint32
	// open is the first epoch that takes new entries. It is wider than an epoch
	// so that closing the last epoch does not wrap around.
	open uint64
	// held has one map per epoch of the window, at the index epoch % Window, so
	// that an epoch expires without visiting its entries.
	held [Window]map[nonce]entry
	len  int
}

var _ gypsumrail.Ledger = (*Ledger)(nil)

// New returns an empty ledger for keys whose home is the name and incarnation of self.
func New(self gypsumrail.Instance, settings Settings) *Ledger {
	if settings.EntriesMax <= 0 {
		settings.EntriesMax = defaultEntriesMax
	}
	return &Ledger{self: self, entriesMax: settings.EntriesMax}
}

// Epoch returns the current epoch: the minutes of now, never lower than in an
// earlier call of any method.
func (l *Ledger) Epoch(now gypsumrail.Millis) uint32 {
	l.advance(now)
	return l.epoch
}

// Start records an attempt as started and returns VerdictStart if it may run:
// its key is in the window, no attempt of the key is running or ran, and no
// tombstone covers it. Otherwise the verdict tells why not.
func (l *Ledger) Start(now gypsumrail.Millis, key gypsumrail.Key, attempt gypsumrail.HomeAttempt) gypsumrail.Verdict {
	id, current, verdict := l.judge(now, key, attempt)
	if verdict != gypsumrail.VerdictStart {
		return verdict
	}
	current.phase = running
	current.started = attempt
	l.put(key.Epoch, id, current)
	return gypsumrail.VerdictStart
}

// Refuse records that attempts up to the given one will not start. It returns
// VerdictRefused, or VerdictFull if the key is refused for good, when no
// attempt of the key started. With VerdictRunning and VerdictDone the attempt
// that started is not changed, but the tombstone is kept and holds if that
// attempt ends as NotRun.
func (l *Ledger) Refuse(now gypsumrail.Millis, key gypsumrail.Key, attempt gypsumrail.HomeAttempt) gypsumrail.Verdict {
	id, current, verdict := l.judge(now, key, attempt)
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

// Finish records the end of the running attempt of a key. Only with NotRun may
// a higher attempt start; any other outcome, Unknown included, ends the key.
// Without a running attempt, or if the key has expired, it has no effect. It
// must be called once for each start: the key does not tell which attempt
// ended, so a repeated call could end a later attempt.
func (l *Ledger) Finish(now gypsumrail.Millis, key gypsumrail.Key, outcome gypsumrail.Outcome) {
	id, current, verdict := l.judge(now, key, 0)
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
	_, _, verdict := l.judge(now, key, attempt)
	return verdict
}

// Expire drops the entries of epochs that left the window. The other methods
// do the same with the time that they are given, so Expire is needed only
// while there are no calls.
func (l *Ledger) Expire(now gypsumrail.Millis) { l.advance(now) }

// Len returns the number of entries, at most Settings.EntriesMax.
func (l *Ledger) Len() int { return l.len }

// judge returns what is known of a key and the verdict on starting the attempt.
// The state of the key comes before tombstones: once an attempt runs or ran,
// the key is never answered as refused.
func (l *Ledger) judge(now gypsumrail.Millis, key gypsumrail.Key, attempt gypsumrail.HomeAttempt) (nonce, entry, gypsumrail.Verdict) {
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
	current, found := l.held[key.Epoch%Window][id]
	switch {
	case !found && uint64(key.Epoch) < l.open:
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
