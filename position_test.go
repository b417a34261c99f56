package gypsumrail_test

import (
	"slices"
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

// Guards against positions that go back where the store does, and against a revision of a
// store without eras that is changed.
func TestPosition(t *testing.T) {
	order := []uint64{
		gypsumrail.Position(0, 1), gypsumrail.Position(0, 1<<40), gypsumrail.Position(1, 0), gypsumrail.Position(1, gypsumrail.StoreRevisionMax),
		gypsumrail.Position(2, 5), gypsumrail.Position(gypsumrail.EraMax, gypsumrail.StoreRevisionMax),
	}
	if !slices.IsSorted(order) || order[0] != 1 || int64(order[len(order)-1]) < 0 { //nolint:gosec // the sign bit must stay clear
		t.Errorf("positions are not in the order of eras and revisions: %v", order)
	}
	if era, revision := gypsumrail.SplitPosition(order[4]); era != 2 || revision != 5 {
		t.Errorf("split into era %d and revision %d", era, revision)
	}
}
