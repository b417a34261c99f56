package ledger

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// Fails if a rule of docs/design.md, section 5.5, is broken that the property test
// reaches rarely. Each step applies an action to one key of epoch 10 at the time of
// the step's epoch. Then State must return the verdict in after for the same attempt.
func TestSequences(t *testing.T) {
	type step struct {
		action  string
		attempt gypsumrail.HomeAttempt
		epoch   int
		after   gypsumrail.Verdict
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"a refusal while a lower attempt runs holds when that one did not run", []step{
			{"start", 1, 10, gypsumrail.VerdictRunning},
			{"refuse", 3, 10, gypsumrail.VerdictRunning},
			{"not run", 1, 10, gypsumrail.VerdictRefused},
			{"start", 3, 10, gypsumrail.VerdictRefused},
			{"start", 4, 10, gypsumrail.VerdictRunning},
		}},
		{"an unknown outcome ends the key", []step{
			{"start", 1, 10, gypsumrail.VerdictRunning},
			{"unknown", 1, 10, gypsumrail.VerdictDone},
			{"not run", 1, 10, gypsumrail.VerdictDone},
			{"start", 9, 10, gypsumrail.VerdictDone},
		}},
		{"a running key is accepted up to the end of its window and not again", []step{
			{"start", 1, 19, gypsumrail.VerdictRunning},
			{"start", 2, 20, gypsumrail.VerdictExpired},
			{"not run", 1, 20, gypsumrail.VerdictExpired},
			{"start", 2, 12, gypsumrail.VerdictExpired},
		}},
		{"a key that is held may go on after its epoch was closed", []step{
			{"refuse", 1, 10, gypsumrail.VerdictRefused},
			{"fill", 2, 10, gypsumrail.VerdictStart},
			{"start", 2, 11, gypsumrail.VerdictRunning},
		}},
		{"a key refused for lack of room stays refused when there is room again", []step{
			{"fill", 1, 1, gypsumrail.VerdictInvalid},
			{"start", 1, 9, gypsumrail.VerdictInvalid},
			{"fill", 1, 10, gypsumrail.VerdictFull},
			{"refuse", 1, 10, gypsumrail.VerdictFull},
			{"start", 2, 13, gypsumrail.VerdictFull},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, k := New(self, Settings{EntriesMax: 2}), key(10, 1)
			for i, s := range test.steps {
				now := gypsumrail.Millis(s.epoch) * EpochLength
				switch s.action {
				case "start":
					l.Start(now, k, s.attempt)
				case "refuse":
					l.Refuse(now, k, s.attempt)
				case "not run":
					l.Finish(now, k, gypsumrail.NotRun)
				case "unknown":
					l.Finish(now, k, gypsumrail.Unknown)
				case "fill":
					for id := 2; l.Len() < 2; id++ {
						l.Start(now, key(s.epoch, id), 1)
					}
				}
				if diff := cmp.Diff(s.after, l.State(now, k, s.attempt)); diff != "" {
					t.Fatalf("step %d, %s: %s", i, s.action, diff)
				}
			}
		})
	}
}
