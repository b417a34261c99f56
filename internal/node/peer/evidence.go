package peer

import (
	"fmt"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// evidenceMax bounds the fingerprints in one message, each counted as often as it
	// occurs.
	evidenceMax = 3072
	// evidenceBytes bounds the evidence in one message. Directory entries take half of
	// ExchangeMax.
	evidenceBytes = evidenceMax * fingerprintBytes
	// fingerprintBytes is the size of an encoded fingerprint.
	fingerprintBytes = 8
	// groupBytes is the most that tags, lengths and numbers of a crash or completion take,
	// besides its address and fingerprints.
	groupBytes = 24
	// ageMax bounds the ages of evidence. It exceeds the longest time for which evidence
	// counts.
	ageMax = 24 * 60 * gypsumrail.Minute
)

// addEvidence adds the evidence to a message, and leaves out what exceeds evidenceBytes.
// Completions get half of it at most, so that crashes always find room.
func addEvidence(m *ExchangeMessage, e gypsumrail.Evidence) {
	left := evidenceBytes / 2
	take := func(requests []uint64, bytes int) []uint64 {
		requests = requests[:min(len(requests), max(0, left-bytes)/fingerprintBytes)]
		if len(requests) > 0 {
			left -= bytes + len(requests)*fingerprintBytes
		}
		return requests
	}
	for _, c := range e.Completions {
		if requests := take(c.Requests, groupBytes); len(requests) > 0 {
			m.Completions = append(m.Completions, &CompletionMessage{Age: clampAge(c.Age), Requests: requests})
		}
	}
	left += evidenceBytes / 2
	for _, c := range e.Crashes {
		if requests := take(c.Requests, groupBytes+len(c.Address)); len(requests) > 0 {
			m.Crashes = append(m.Crashes, &CrashMessage{Address: c.Address, Age: clampAge(c.Age), Requests: requests, OnTrial: c.OnTrial})
		}
	}
}

// clampAge clamps an age to its range.
func clampAge(age gypsumrail.Millis) uint32 { return uint32(min(max(age, 0), ageMax)) }

// fromEvidence reads the evidence of a message. Errors wrap ErrMalformed.
func fromEvidence(m *ExchangeMessage) (gypsumrail.Evidence, error) {
	var e gypsumrail.Evidence
	total := 0
	for _, c := range m.GetCrashes() {
		if !wire.ValidAddress(c.GetAddress()) || gypsumrail.Millis(c.GetAge()) > ageMax {
			return gypsumrail.Evidence{}, fmt.Errorf("%w: crash at %.64q", ErrMalformed, c.GetAddress())
		}
		total += len(c.GetRequests())
		e.Crashes = append(e.Crashes, gypsumrail.Crash{
			Address: c.GetAddress(), Age: gypsumrail.Millis(c.GetAge()), Requests: c.GetRequests(), OnTrial: c.GetOnTrial(),
		})
	}
	for _, c := range m.GetCompletions() {
		if gypsumrail.Millis(c.GetAge()) > ageMax {
			return gypsumrail.Evidence{}, fmt.Errorf("%w: completion %d ms ago", ErrMalformed, c.GetAge())
		}
		total += len(c.GetRequests())
		e.Completions = append(e.Completions, gypsumrail.Completion{Age: gypsumrail.Millis(c.GetAge()), Requests: c.GetRequests()})
	}
	if total > evidenceMax {
		return gypsumrail.Evidence{}, fmt.Errorf("%w: evidence about %d requests", ErrMalformed, total)
	}
	return e, nil
}
