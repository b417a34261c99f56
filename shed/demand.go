package shed

import "github.com/gypsumrail/gypsumrail"

const (
	// demandWeight is the weight of the last window in the EWMA. One half follows a
	// surge within two or three windows and removes two thirds of the variance.
	demandWeight = 0.5
	// hiddenDemandDecay is the factor per window of the demand below the threshold.
	// The estimate halves in about 14 s. With 0.98, at six times the load, it
	// decayed so far that one step down admitted a queue of 850 ms.
	hiddenDemandDecay = 0.995
)

// demand estimates how many calls of each level are offered per window.
type demand struct {
	window    [gypsumrail.LevelMax]uint32
	perWindow [gypsumrail.LevelMax]float64
}

func (d *demand) add(level gypsumrail.Level) {
	d.window[min(max(level, 0), gypsumrail.LevelMax-1)]++
}

// closeWindow ends a window. Few arrivals below the threshold do not prove a low
// demand, because senders hold these calls back. If less than half of the expected
// calls arrive there, the estimate below the threshold decays only slowly.
func (d *demand) closeWindow(threshold gypsumrail.Level) {
	seen, expected := 0.0, 0.0
	for i := range threshold {
		seen += float64(d.window[i])
		expected += d.perWindow[i]
	}
	hidden := seen < expected/2
	for i := range d.window {
		if hidden && gypsumrail.Level(i) < threshold {
			d.perWindow[i] *= hiddenDemandDecay
		} else {
			d.perWindow[i] += demandWeight * (float64(d.window[i]) - d.perWindow[i])
		}
		d.window[i] = 0
	}
}

// thresholdFor returns the lowest threshold that admits at most the wanted calls
// per window.
func (d *demand) thresholdFor(wanted float64) gypsumrail.Level {
	sum := 0.0
	for level := gypsumrail.LevelMax - 1; level >= 0; level-- {
		if sum += d.perWindow[level]; sum > wanted {
			return level + 1
		}
	}
	return 0
}
