package wire

import (
	"strconv"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// loadFigures is the number of figures in a target's statement of its load.
	loadFigures = 4
	// usualTime is the figure of a machine on which work takes as long as usual.
	usualTime = 100
	// slowdownPlausibleMax is the highest slowdown that counts as a statement. A machine
	// that is slower by more than this answers hardly any request, so a higher figure is a
	// fault of the target. It must not act as gypsumrail.SlowdownMax, which would refuse calls.
	slowdownPlausibleMax = 100
)

// ParseStatedLoad reads the load that a target states about itself into stated: requests
// running, requests waiting, slots, and how long work takes on its machine at this moment
// (100: as usual), separated by commas. The first three are whole numbers, the last may
// be a decimal fraction. It returns false, and leaves stated as it is, if a figure is
// missing, malformed or implausible.
func ParseStatedLoad(value string, stated *gypsumrail.Stated) bool {
	parts := strings.SplitN(value, ",", loadFigures+1)
	if len(parts) != loadFigures {
		return false
	}
	for i := range parts {
		parts[i] = strings.Trim(parts[i], " \t")
	}
	running, okRunning := parseNumber(parts[0], 0, slotsMax)
	waiting, okWaiting := parseNumber(parts[1], 0, slotsMax)
	slots, okSlots := parseNumber(parts[2], 1, slotsMax)
	slowdown, okSlowdown := parseSlowdown(parts[3], usualTime)
	if !okRunning || !okWaiting || !okSlots || !okSlowdown {
		return false
	}
	stated.Running, stated.Waiting, stated.Slots, stated.Slowdown = int(running), int(waiting), int(slots), slowdown
	return true
}

// parseSlowdown reads a slowdown: a decimal fraction in multiples of usual. It moves a
// plausible one into the range from gypsumrail.SlowdownMin to gypsumrail.SlowdownMax.
func parseSlowdown(text string, usual float64) (float64, bool) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false // ParseFloat also reads signs, exponents, hexadecimal numbers, Inf and NaN
	}
	figure, err := strconv.ParseFloat(text, 64)
	if err != nil || figure <= 0 || figure > slowdownPlausibleMax*usual {
		return 0, false
	}
	return min(max(figure/usual, gypsumrail.SlowdownMin), gypsumrail.SlowdownMax), true
}

// FormatSlowdown returns the text of a slowdown for ParseSlowdown to read.
func FormatSlowdown(slowdown float64) string { return strconv.FormatFloat(slowdown, 'f', 2, 64) }

// ParseSlowdown reads a slowdown between nodes, where 1 is as usual. It returns 0 and false
// if it is missing or malformed.
func ParseSlowdown(text string) (float64, bool) { return parseSlowdown(text, 1) }
