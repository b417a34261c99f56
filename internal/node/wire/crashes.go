package wire

import (
	"errors"
	"strconv"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// crashesMax bounds the crashes in one header.
	crashesMax = 8
	// crashAgeMax bounds their ages. It exceeds the longest time for which evidence counts.
	crashAgeMax = 24 * 60 * gypsumrail.Minute
)

// errCrashes means that a header with crashes is malformed.
var errCrashes = errors.New("malformed list of crashes")

// onTrialMark marks a crash on trial in a header.
const onTrialMark = "trial"

// FormatCrashes formats the crashes of one request: "ADDRESS AGE" or "ADDRESS AGE trial"
// each, with the age in milliseconds, separated by commas. It takes the last ones if there
// are too many.
func FormatCrashes(crashes []gypsumrail.Crash) string {
	var b []byte
	for i, c := range crashes[max(0, len(crashes)-crashesMax):] {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, c.Address...)
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(min(max(c.Age, 0), crashAgeMax)), 10)
		if c.OnTrial {
			b = append(b, " "+onTrialMark...)
		}
	}
	return string(b)
}

// ParseCrashes parses the format of FormatCrashes.
func ParseCrashes(text string) ([]gypsumrail.Crash, error) {
	var crashes []gypsumrail.Crash
	for part := range strings.SplitSeq(text, ",") {
		address, rest, _ := strings.Cut(part, " ")
		age, mark, marked := strings.Cut(rest, " ")
		n, err := strconv.ParseInt(age, 10, 64)
		if err != nil || n < 0 || n > int64(crashAgeMax) || !ValidAddress(address) || marked && mark != onTrialMark || len(crashes) == crashesMax {
			return nil, errCrashes
		}
		crashes = append(crashes, gypsumrail.Crash{Address: address, Age: gypsumrail.Millis(n), OnTrial: marked})
	}
	return crashes, nil
}
