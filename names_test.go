package gypsumrail

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Fails if the level of a request is outside the range of its importance, or
// differs between two computations. Either would let one hop admit a user request
// that another hop sheds.
func TestLevelOf(t *testing.T) {
	tests := []struct {
		name       string
		importance Importance
		low, high  Level
	}{
		{"lowest", ImportanceMin, 0, LevelsPerImportance},
		{"highest", ImportanceMax, LevelMax - LevelsPerImportance, LevelMax},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			level := LevelOf(test.importance, "request-1")
			if level < test.low || level >= test.high {
				t.Errorf("level %d is outside [%d, %d)", level, test.low, test.high)
			}
			if diff := cmp.Diff(level, LevelOf(test.importance, "request-1")); diff != "" {
				t.Errorf("level differs for the same request: %s", diff)
			}
		})
	}
}
