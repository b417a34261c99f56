package ledger

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumrail/gypsumrail"
)

var self = gypsumrail.Instance{Name: "lotdesk-1", Incarnation: 7}

func key(epoch, id int) gypsumrail.Key {
	return gypsumrail.Key{Home: self.Name, Incarnation: self.Incarnation, Epoch: uint32(epoch), Nonce: fmt.Sprintf("%032x", id)}
}

// model is the reference implementation of a ledger: it never drops a key and
// counts the entries by a visit to all keys.
type model struct {
	bound  int
	epoch  int
	closed int // the highest closed epoch, -1 for none
	keys   map[gypsumrail.Key]*history
}

// history is the state of one key in the model and the verdicts given for it.
type history struct {
	running, done, stored bool // stored: the key has an entry
	refused, started      gypsumrail.HomeAttempt
	answeredRefused       map[gypsumrail.HomeAttempt]bool
	answeredFull          bool
}

// recount sets the epoch, closes epochs if the bound is reached and returns the
// number of stored entries.
func (m *model) recount(now gypsumrail.Millis) int {
	m.epoch = max(m.epoch, int(now/gypsumrail.Minute))
	stored := 0
	for k, h := range m.keys {
		if h.stored && m.epoch-int(k.Epoch) < Window {
			stored++
		}
	}
	if stored >= m.bound {
		m.closed = m.epoch
	}
	return stored
}

func (m *model) verdict(k gypsumrail.Key, attempt gypsumrail.HomeAttempt) gypsumrail.Verdict {
	h := m.keys[k]
	switch {
	case k.Home != self.Name || k.Incarnation != self.Incarnation:
		return gypsumrail.VerdictForeign
	case int(k.Epoch) > m.epoch:
		return gypsumrail.VerdictInvalid
	case m.epoch-int(k.Epoch) >= Window:
		return gypsumrail.VerdictExpired
	case h.running:
		return gypsumrail.VerdictRunning
	case h.done:
		return gypsumrail.VerdictDone
	case h.stored && attempt <= h.refused:
		return gypsumrail.VerdictRefused
	case !h.stored && int(k.Epoch) <= m.closed:
		return gypsumrail.VerdictFull
	}
	return gypsumrail.VerdictStart
}

// Fails if a key runs twice (P5), an attempt starts after it was answered as not run
// (P4), an entry is dropped inside its window, or the number of entries exceeds the
// bound. The random actions include late copies, lower attempts,
// foreign keys, floods of new keys, and a clock that stands, jumps or goes back.
func TestLedgerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model{bound: rapid.IntRange(1, 12).Draw(t, "bound"), closed: -1, keys: map[gypsumrail.Key]*history{}}
		l := New(self, Settings{EntriesMax: m.bound})
		now := gypsumrail.Millis(rapid.IntRange(0, 20).Draw(t, "origin")) * gypsumrail.Minute
		flood := 1000
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 9).Draw(t, "time") {
			case 0:
				now -= gypsumrail.Millis(rapid.IntRange(0, int(3*gypsumrail.Minute)).Draw(t, "back"))
			case 1, 2:
				now += gypsumrail.Millis(rapid.IntRange(0, int(2*gypsumrail.Minute)).Draw(t, "step"))
			case 3:
				now += gypsumrail.Millis(rapid.IntRange(5, 200).Draw(t, "jump")) * gypsumrail.Minute * gypsumrail.Millis(rapid.IntRange(0, 1).Draw(t, "large"))
			}
			m.recount(now)
			k := key(max(0, m.epoch-rapid.IntRange(-1, 11).Draw(t, "age")*rapid.IntRange(0, 1).Draw(t, "old")), rapid.IntRange(0, 2).Draw(t, "id"))
			action := rapid.IntRange(0, 7).Draw(t, "action")
			if action == 7 { // a new key of the current epoch
				flood++
				k = key(m.epoch, flood)
			}
			if rapid.IntRange(0, 19).Draw(t, "foreign") == 0 {
				k.Incarnation--
			}
			if m.keys[k] == nil {
				m.keys[k] = &history{answeredRefused: map[gypsumrail.HomeAttempt]bool{}}
			}
			h, attempt := m.keys[k], gypsumrail.HomeAttempt(rapid.IntRange(0, 6).Draw(t, "attempt"))
			want := m.verdict(k, attempt)
			got := want
			switch action {
			case 0, 1, 2, 7:
				got = l.Start(now, k, attempt)
				if got == gypsumrail.VerdictStart {
					if h.running || h.done || h.answeredRefused[attempt] || h.answeredFull {
						t.Fatalf("attempt %d of %+v started after %+v", attempt, k, *h)
					}
					h.running, h.stored, h.started = true, true, attempt
				}
			case 3:
				got = l.Refuse(now, k, attempt)
				switch want {
				case gypsumrail.VerdictStart:
					want = gypsumrail.VerdictRefused
					fallthrough
				case gypsumrail.VerdictRefused, gypsumrail.VerdictRunning:
					h.stored, h.refused = true, max(h.refused, attempt)
				}
			case 4:
				outcome := rapid.SampledFrom([]gypsumrail.Outcome{gypsumrail.NotRun, gypsumrail.NotRun, gypsumrail.Ran, gypsumrail.Unknown}).Draw(t, "outcome")
				l.Finish(now, k, outcome)
				if want == gypsumrail.VerdictRunning {
					h.running, h.done = false, outcome != gypsumrail.NotRun
					h.refused = max(h.refused, h.started)
				}
			case 5:
				got = l.State(now, k, attempt)
			case 6:
				l.Expire(now)
			}
			if got != want {
				t.Fatalf("action %d on attempt %d of %+v at epoch %d: verdict %s, want %s", action, attempt, k, m.epoch, got, want)
			}
			h.answeredRefused[attempt] = h.answeredRefused[attempt] || got == gypsumrail.VerdictRefused
			h.answeredFull = h.answeredFull || got == gypsumrail.VerdictFull
			if stored := m.recount(now); l.Len() != stored || stored > m.bound {
				t.Fatalf("Len is %d, want %d, bound %d", l.Len(), stored, m.bound)
			}
			if got := l.Epoch(now); int(got) != m.epoch {
				t.Fatalf("epoch %d, want %d", got, m.epoch)
			}
		}
	})
}
