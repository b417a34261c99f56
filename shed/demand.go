package shed

import "github.com/gypsumrail/gypsumrail"

const (
	// demandFresh is the weight of the last window. Half of it per window follows
	// a surge within two or three windows and removes two thirds of the variance.
	demandFresh = 0.5
	// demandKept is what remains per window of the demand below the threshold. It
	// halves in about 14 s. At 0.98 a threshold under six times the load forgot so
	// much that one step down admitted a queue of 850 ms.
	demandKept = 0.995
)

// demand estimates the calls offered per window by level.
type demand struct {
	window    [gypsumrail.LevelMax]uint32
	perWindow [gypsumrail.LevelMax]float64
}

func (d *demand) add(level gypsumrail.Level) {
	d.window[min(max(level, 0), gypsumrail.LevelMax-1)]++
}

// close ends a window. Below the threshold missing calls prove little, because
// senders hold them back: unless at least half of the expected calls arrive
// there, the estimate below the threshold is kept.
func (d *demand) close(threshold gypsumrail.Level) {
	seen, expected := 0.0, 0.0
	for i := range threshold {
		seen += float64(d.window[i])
		expected += d.perWindow[i]
	}
	hidden := seen < expected/2
	for i := range d.window {
		if hidden && gypsumrail.Level(i) < threshold {
			d.perWindow[i] *= demandKept
		} else {
			d.perWindow[i] += demandFresh * (float64(d.window[i]) - d.perWindow[i])
		}
		d.window[i] = 0
	}
}

// thresholdFor returns the lowest threshold that admits at most wanted calls per window.
func (d *demand) thresholdFor(wanted float64) gypsumrail.Level {
	sum := 0.0
	for level := gypsumrail.LevelMax - 1; level >= 0; level-- {
		if sum += d.perWindow[level]; sum > wanted {
			return level + 1
		}
	}
	return 0
}
