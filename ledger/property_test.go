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

// model is the plain form of a ledger: it keeps every key for ever and counts
// by visiting all of them.
type model struct {
	bound  int
	epoch  int
	closed int // the highest epoch that is closed
	keys   map[gypsumrail.Key]*history
}

type history struct {
	running, done, held bool
	refused, started    gypsumrail.HomeAttempt
	denied              map[gypsumrail.HomeAttempt]bool // answered as Refused
	full                bool                            // answered as Full
}

func (m *model) settle(now gypsumrail.Millis) int {
	m.epoch = max(m.epoch, int(now/gypsumrail.Minute))
	held := 0
	for k, h := range m.keys {
		if h.held && m.epoch-int(k.Epoch) < Window {
			held++
		}
	}
	if held >= m.bound {
		m.closed = m.epoch
	}
	return held
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
	case h.held && attempt <= h.refused:
		return gypsumrail.VerdictRefused
	case !h.held && int(k.Epoch) <= m.closed:
		return gypsumrail.VerdictFull
	}
	return gypsumrail.VerdictStart
}

// Guards P4 and P5: a key that runs twice, an attempt that starts after it was
// answered as not run, an entry forgotten inside its window, and memory beyond
// the bound. It plays late copies, lower attempts, foreign keys, floods and a
// clock that repeats, jumps or goes back.
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
			m.settle(now)
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
				m.keys[k] = &history{denied: map[gypsumrail.HomeAttempt]bool{}}
			}
			h, attempt := m.keys[k], gypsumrail.HomeAttempt(rapid.IntRange(0, 6).Draw(t, "attempt"))
			want := m.verdict(k, attempt)
			got := want
			switch action {
			case 0, 1, 2, 7:
				got = l.Start(now, k, attempt)
				if got == gypsumrail.VerdictStart {
					if h.running || h.done || h.denied[attempt] || h.full {
						t.Fatalf("attempt %d of %+v started after %+v", attempt, k, *h)
					}
					h.running, h.held, h.started = true, true, attempt
				}
			case 3:
				got = l.Refuse(now, k, attempt)
				switch want {
				case gypsumrail.VerdictStart:
					want = gypsumrail.VerdictRefused
					fallthrough
				case gypsumrail.VerdictRefused, gypsumrail.VerdictRunning:
					h.held, h.refused = true, max(h.refused, attempt)
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
			h.denied[attempt] = h.denied[attempt] || got == gypsumrail.VerdictRefused
			h.full = h.full || got == gypsumrail.VerdictFull
			if held := m.settle(now); l.Len() != held || held > m.bound {
				t.Fatalf("Len is %d, want %d, bound %d", l.Len(), held, m.bound)
			}
			if got := l.Epoch(now); int(got) != m.epoch {
				t.Fatalf("epoch %d, want %d", got, m.epoch)
			}
		}
	})
}
