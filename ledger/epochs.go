package ledger

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// phase is the state of a key that has an entry.
type phase uint8

const (
	idle    phase = iota // no attempt runs or ran; refused tells which may not start
	running              // the attempt in started runs
	done                 // an attempt ran or may have run
)

// entry holds no pointers, so that the garbage collector does not scan the maps.
type entry struct {
	refused gypsumrail.HomeAttempt // this attempt and lower ones never start
	started gypsumrail.HomeAttempt // the last attempt that started
	phase   phase
}

func epochOf(now gypsumrail.Millis) uint32 {
	return uint32(min(max(now/EpochLength, 0), math.MaxUint32))
}

// advance moves to the epoch of now and drops the epochs that leave the window.
func (l *Ledger) advance(now gypsumrail.Millis) {
	next := epochOf(now)
	if next <= l.epoch {
		return
	}
	for i := range min(next-l.epoch, Window) {
		// The epochs from next down reuse the places of those that expire.
		slot := (next - i) % Window
		l.len -= len(l.held[slot])
		l.held[slot] = nil
	}
	l.epoch = next
	l.closeIfFull()
}

// put stores an entry. A new one must have passed judge, which lets it through
// only below the bound.
func (l *Ledger) put(epoch uint32, id nonce, value entry) {
	slot := epoch % Window
	if l.held[slot] == nil {
		l.held[slot] = make(map[nonce]entry)
	}
	before := len(l.held[slot])
	l.held[slot][id] = value
	l.len += len(l.held[slot]) - before
	l.closeIfFull()
}

// closeIfFull closes the current and all earlier epochs when the bound is
// reached. It runs at each change of the entries and of the epoch, not when the
// next key arrives, so that State needs to record nothing and a refusal for
// lack of room cannot be followed by a start after entries expired.
func (l *Ledger) closeIfFull() {
	if l.len >= l.entriesMax {
		l.open = uint64(l.epoch) + 1
	}
}
