package gypsumrail

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against levels that differ between hops or leave their range, either
// of which would shed one user request at one hop and admit it at another.
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
