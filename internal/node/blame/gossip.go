package blame

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// Merge adds the evidence of a peer. Completions come first: the crashes that they cancel
// are then not added.
func (t *Table) Merge(now gypsumrail.Millis, evidence gypsumrail.Evidence) {
	for _, c := range evidence.Completions {
		for _, fingerprint := range c.Requests {
			t.addCompletion(now, fingerprint, now-c.Age)
		}
	}
	for _, c := range evidence.Crashes {
		for _, fingerprint := range c.Requests {
			t.addCrash(now, fingerprint, crash{c.Address, now - c.Age, c.OnTrial})
		}
	}
	// Clocks run apart, so a peer may still hold what has expired here. Only all crashes
	// of a request together tell whether they count.
	for _, c := range evidence.Crashes {
		for _, fingerprint := range c.Requests {
			if e := t.entries[fingerprint]; e != nil && e.expired(now) {
				t.drop(fingerprint)
			}
		}
	}
}

// News returns the evidence that was added since it was last called.
func (t *Table) News(now gypsumrail.Millis) gypsumrail.Evidence {
	if len(t.news) == 0 {
		return gypsumrail.Evidence{}
	}
	fingerprints := slices.Collect(maps.Keys(t.news))
	clear(t.news)
	return t.evidence(now, fingerprints)
}

// Main returns the evidence about the requests of Digest, then the latest about others,
// about mainMax requests at most.
func (t *Table) Main(now gypsumrail.Millis) gypsumrail.Evidence {
	fingerprints := slices.Collect(maps.Keys(t.entries))
	slices.SortFunc(fingerprints, t.compare)
	return t.evidence(now, fingerprints[:min(len(fingerprints), mainMax)])
}

// compare orders requests: those with repeated crashes first, then by the latest evidence.
func (t *Table) compare(a, b uint64) int {
	x, y := t.entries[a], t.entries[b]
	if x.isRepeated() != y.isRepeated() {
		if x.isRepeated() {
			return -1
		}
		return 1
	}
	return cmp.Or(-cmp.Compare(x.lastEvidence(), y.lastEvidence()), cmp.Compare(a, b))
}

// evidence returns the evidence about requests, in the order of compare. It groups the
// requests by crash.
func (t *Table) evidence(now gypsumrail.Millis, fingerprints []uint64) gypsumrail.Evidence {
	slices.SortFunc(fingerprints, t.compare)
	var evidence gypsumrail.Evidence
	for _, fingerprint := range fingerprints {
		e := t.entries[fingerprint]
		for _, c := range e.crashes {
			evidence.Crashes = addRequest(evidence.Crashes, gypsumrail.Crash{Address: c.address, Age: max(0, now-c.at), OnTrial: c.onTrial}, fingerprint)
		}
		if e.completed {
			evidence.Completions = addCompleted(evidence.Completions, max(0, now-e.completedAt), fingerprint)
		}
	}
	return evidence
}

// addRequest adds a request to the same crash at about the same age, or to a new one.
func addRequest(crashes []gypsumrail.Crash, added gypsumrail.Crash, fingerprint uint64) []gypsumrail.Crash {
	for i := range crashes {
		c := &crashes[i]
		if c.Address == added.Address && c.OnTrial == added.OnTrial && max(c.Age-added.Age, added.Age-c.Age) < sameCrash/2 {
			c.Requests = append(c.Requests, fingerprint)
			return crashes
		}
	}
	added.Requests = []uint64{fingerprint}
	return append(crashes, added)
}

// addCompleted adds a request to the completion of that age, or to a new one.
func addCompleted(completions []gypsumrail.Completion, age gypsumrail.Millis, fingerprint uint64) []gypsumrail.Completion {
	for i := range completions {
		if completions[i].Age == age {
			completions[i].Requests = append(completions[i].Requests, fingerprint)
			return completions
		}
	}
	return append(completions, gypsumrail.Completion{Age: age, Requests: []uint64{fingerprint}})
}
