package ledger

import (
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// phase is the state of a key that has an entry.
type phase uint8

const (
	idle    phase = iota // no attempt runs or ran
	running              // attempt entry.started runs
	done                 // an attempt ran or may have run
)

// entry is the state of one key. It has no pointers, so that the garbage
// collector does not scan the maps.
type entry struct {
	refused gypsumrail.HomeAttempt // this attempt and lower ones never start
	started gypsumrail.HomeAttempt // the last attempt that started
	phase   phase
}

func epochOf(now gypsumrail.Millis) uint32 {
	return uint32(min(max(now/EpochLength, 0), math.MaxUint32))
}

// advance sets the current epoch to that of now, unless it is already higher, and
// drops the entries of the epochs that leave the window.
func (l *Ledger) advance(now gypsumrail.Millis) {
	next := epochOf(now)
	if next <= l.epoch {
		return
	}
	for i := range min(next-l.epoch, Window) {
		// The epochs from next down reuse the slots of the epochs that expire.
		slot := (next - i) % Window
		l.len -= len(l.entries[slot])
		l.entries[slot] = nil
	}
	l.epoch = next
	l.closeIfFull()
}

// put stores an entry. A new entry requires VerdictStart from lookup, which a new
// key gets only while the number of entries is below the bound.
func (l *Ledger) put(epoch uint32, id nonce, value entry) {
	slot := epoch % Window
	if l.entries[slot] == nil {
		l.entries[slot] = make(map[nonce]entry)
	}
	before := len(l.entries[slot])
	l.entries[slot][id] = value
	l.len += len(l.entries[slot]) - before
	l.closeIfFull()
}

// closeIfFull closes the current and all earlier epochs when the number of
// entries reaches the bound. It runs at each change of the entries and of the
// epoch, not when the next key arrives. So State needs to record nothing, and a
// key that was refused as VerdictFull cannot start after other entries expired.
func (l *Ledger) closeIfFull() {
	if l.len >= l.entriesMax {
		l.firstOpen = uint64(l.epoch) + 1
	}
}
