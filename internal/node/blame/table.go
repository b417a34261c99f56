// Package blame judges which requests crash the targets that run them.
//
// A target that crashes ends all its runs at once, and nothing tells which of them was
// the cause. The cause is still the only request that is there each time: the others are
// different requests at the next crash, or complete at another target, which clears
// them. So a request becomes suspected by its first crash, and its later runs are trials.
// It is quarantined by crashes of two targets, one of them on trial, or by a third crash,
// without a completion in between. Two crashes without a trial are not enough: targets
// may end together, for a reason of their own, while they run equal requests.
//
// A crash has one cause. Once a request is known to crash targets, others that were at no
// other crashes than it, and at fewer, were bystanders, and are clear.
//
// A quarantine is not for good, because targets get repaired. After it, the request
// is suspected for a while: one more crash quarantines it again, for twice as long, and
// after crashesMax crashes for quarantineMax.
//
// All nodes judge alike because they judge the same evidence: crashes are only ever
// added, and a completion cancels the crashes before it. Evidence can therefore be
// merged in any order and more than once.
package blame

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// targetsToQuarantine is the number of targets that must have crashed. With two, a
	// single node with wrong reports cannot have a request of others refused.
	targetsToQuarantine = 2
	// crashesToQuarantine is the number of crashes that count as much without a trial, or
	// at a service with a single target.
	crashesToQuarantine = 3
	// sameCrash is the time within which reports of crashes of one target are about the
	// same crash. It is below the restart time of a process that has to serve requests.
	sameCrash = gypsumrail.Second
	// sameCompletion is the time within which reports of completions count as one. Ages in
	// messages are imprecise by the time of their transport, and a report must not seem new
	// at each node that passes it on.
	sameCompletion = 100 * gypsumrail.Millis(1)
	// suspicionTTL is the time for which a request is suspected after its first crash.
	// Clients repeat a request within seconds.
	suspicionTTL = gypsumrail.Minute
	// quarantineMin is the first quarantine. It doubles with each further crash, up to
	// crashesMax.
	quarantineMin = gypsumrail.Minute
	// crashesMax bounds the crashes kept of one request. That many quarantine it for
	// quarantineMax: it has then been tried three times after its third crash.
	crashesMax    = 6
	quarantineMax = 12 * 60 * gypsumrail.Minute
	// entriesMax bounds the requests with evidence. A large target runs a few hundred
	// requests when it crashes.
	entriesMax = 2048
	// mainMax bounds the requests that nodes compare. They take 2 KB for each crash.
	mainMax = 256
)

// crash is one crash of a target while it ran the request.
type crash struct {
	address string
	at      gypsumrail.Millis
	onTrial bool
}

// entry is the evidence about one request.
type entry struct {
	crashes     []crash // since the last completion, oldest first
	completed   bool
	completedAt gypsumrail.Millis // of the last completion
}

// Table holds the evidence about all requests. It implements gypsumrail.Quarantine and
// is not safe for concurrent use.
type Table struct {
	entries  map[uint64]*entry
	repeated map[uint64]*entry // those with repeated crashes; see isRepeated
	news     map[uint64]bool   // entries that changed since the last call of News
}

var _ gypsumrail.Quarantine = (*Table)(nil)

// New returns a table without evidence.
func New() *Table {
	return &Table{entries: make(map[uint64]*entry), repeated: make(map[uint64]*entry), news: make(map[uint64]bool)}
}

// RecordCrash records that the target beside the node with this address ended while it
// ran a request.
func (t *Table) RecordCrash(now gypsumrail.Millis, address string, fingerprint uint64, onTrial bool) {
	t.addCrash(now, fingerprint, crash{address, now, onTrial})
}

func (t *Table) addCrash(now gypsumrail.Millis, fingerprint uint64, c crash) {
	if fingerprint == 0 {
		return
	}
	e := t.entry(now, fingerprint)
	if e == nil || e.completed && c.at <= e.completedAt {
		return
	}
	for i := range e.crashes {
		known := &e.crashes[i]
		if known.same(c) {
			if c.onTrial && !known.onTrial {
				known.onTrial = true
				t.news[fingerprint] = true
			}
			return
		}
	}
	e.crashes = append(e.crashes, c)
	slices.SortStableFunc(e.crashes, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	e.crashes = e.crashes[max(0, len(e.crashes)-crashesMax):]
	t.changed(fingerprint, e)
}

// changed notes that the evidence about a request changed.
func (t *Table) changed(fingerprint uint64, e *entry) {
	t.news[fingerprint] = true
	if e.isRepeated() {
		t.repeated[fingerprint] = e
	} else {
		delete(t.repeated, fingerprint)
	}
}

// entry returns the entry of a request, which it adds if there is none. It returns nil if
// the table is full.
func (t *Table) entry(now gypsumrail.Millis, fingerprint uint64) *entry {
	e := t.entries[fingerprint]
	if e == nil && (len(t.entries) < entriesMax || t.evict(now)) {
		e = &entry{}
		t.entries[fingerprint] = e
	}
	return e
}

// RecordCompletion records that a target ran a request to its end.
func (t *Table) RecordCompletion(now gypsumrail.Millis, fingerprint uint64) {
	if e := t.entries[fingerprint]; e != nil && len(e.crashes) > 0 {
		t.addCompletion(now, fingerprint, now)
	}
}

// addCompletion cancels the crashes up to a completion. The entry stays until it
// expires, so that a peer's older evidence does not bring them back.
func (t *Table) addCompletion(now gypsumrail.Millis, fingerprint uint64, at gypsumrail.Millis) {
	e := t.entry(now, fingerprint)
	if e == nil || e.completed && at <= e.completedAt {
		return
	}
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return c.at <= at })
	if e.completed && len(e.crashes) == before && at-e.completedAt < sameCompletion {
		return
	}
	e.completed, e.completedAt = true, at
	t.changed(fingerprint, e)
}

// Judge returns the judgment of a request.
func (t *Table) Judge(now gypsumrail.Millis, fingerprint uint64) gypsumrail.Judgment {
	judgment := gypsumrail.Judgment{Fingerprint: fingerprint}
	e := t.entries[fingerprint]
	if e == nil || len(e.crashes) == 0 {
		return judgment
	}
	standing, until := e.standing(now)
	if standing == gypsumrail.Clear || t.isBystander(e) {
		return judgment
	}
	judgment.Standing, judgment.Left = standing, until-now
	for _, c := range e.crashes {
		judgment.Crashes = append(judgment.Crashes, gypsumrail.Crash{Address: c.address, Age: max(0, now-c.at), OnTrial: c.onTrial})
	}
	return judgment
}

// isBystander reports whether each crash of a request has another cause: a request that is
// known to crash targets and was at more crashes.
func (t *Table) isBystander(e *entry) bool {
	for _, c := range e.crashes {
		explained := false
		for _, cause := range t.repeated {
			if len(cause.crashes) > len(e.crashes) && cause.term() > 0 && slices.ContainsFunc(cause.crashes, c.same) {
				explained = true
				break
			}
		}
		if !explained {
			return false
		}
	}
	return true
}

// same reports whether two reports are about the same crash.
func (c crash) same(d crash) bool {
	return c.address == d.address && max(c.at-d.at, d.at-c.at) < sameCrash
}

func (e *entry) lastCrash() gypsumrail.Millis { return e.crashes[len(e.crashes)-1].at }

// standing returns the standing of a request with crashes, and when it ends, without
// regard to other requests.
func (e *entry) standing(now gypsumrail.Millis) (gypsumrail.Standing, gypsumrail.Millis) {
	term := e.term()
	if term == 0 {
		if until := e.lastCrash() + suspicionTTL; now < until {
			return gypsumrail.Suspected, until
		}
		return gypsumrail.Clear, 0
	}
	if until := e.lastCrash() + term; now < until {
		return gypsumrail.Quarantined, until
	}
	// As long again, so that the evidence is there when the request is tried.
	if until := e.lastCrash() + 2*term; now < until {
		return gypsumrail.Suspected, until
	}
	return gypsumrail.Clear, 0
}

// term returns the duration of the quarantine, or 0 if the evidence is too weak for one.
func (e *entry) term() gypsumrail.Millis {
	n := len(e.crashes)
	switch {
	case n >= crashesMax:
		return quarantineMax
	case n >= crashesToQuarantine, n >= targetsToQuarantine && e.hasSeveralTargets() && e.hasTrial():
		return quarantineMin << (n - targetsToQuarantine)
	}
	return 0
}

func (e *entry) hasSeveralTargets() bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool { return c.address != e.crashes[0].address })
}

func (e *entry) hasTrial() bool {
	return slices.ContainsFunc(e.crashes, func(c crash) bool { return c.onTrial })
}

// evict makes room for an entry. It drops the suspected or cleared request whose last
// evidence is oldest, and returns false if all are quarantined.
func (t *Table) evict(now gypsumrail.Millis) bool {
	var oldest uint64
	found := false
	var oldestAt gypsumrail.Millis
	for fingerprint, e := range t.entries {
		if len(e.crashes) > 0 {
			if standing, _ := e.standing(now); standing == gypsumrail.Quarantined {
				continue
			}
		}
		at := e.lastEvidence()
		if !found || at < oldestAt || at == oldestAt && fingerprint < oldest {
			found, oldest, oldestAt = true, fingerprint, at
		}
	}
	if found {
		t.drop(oldest)
	}
	return found
}

func (t *Table) drop(fingerprint uint64) {
	delete(t.entries, fingerprint)
	delete(t.repeated, fingerprint)
	delete(t.news, fingerprint)
}

func (e *entry) lastEvidence() gypsumrail.Millis {
	if len(e.crashes) > 0 {
		return e.lastCrash()
	}
	return e.completedAt
}

// Expire drops evidence that no longer counts.
func (t *Table) Expire(now gypsumrail.Millis) {
	for fingerprint, e := range t.entries {
		if e.expired(now) {
			t.drop(fingerprint)
		}
	}
}

func (e *entry) expired(now gypsumrail.Millis) bool {
	if len(e.crashes) == 0 {
		return now-e.completedAt >= suspicionTTL
	}
	standing, _ := e.standing(now)
	return standing == gypsumrail.Clear
}

// Judgments returns the requests that are not clear, quarantined ones first, then those
// with the latest crash, and at most limit.
func (t *Table) Judgments(now gypsumrail.Millis, limit int) []gypsumrail.Judgment {
	var judgments []gypsumrail.Judgment
	for fingerprint := range t.entries {
		if j := t.Judge(now, fingerprint); j.Standing != gypsumrail.Clear {
			judgments = append(judgments, j)
		}
	}
	slices.SortFunc(judgments, func(a, b gypsumrail.Judgment) int {
		return cmp.Or(cmp.Compare(a.Standing, b.Standing), cmp.Compare(lastAge(a), lastAge(b)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return judgments[:min(len(judgments), limit)]
}

func lastAge(j gypsumrail.Judgment) gypsumrail.Millis { return j.Crashes[len(j.Crashes)-1].Age }

// isRepeated reports whether more than one target crashed while it ran the request, or one
// repeatedly. Those that ran beside it during one crash are far more, and matter less.
func (e *entry) isRepeated() bool { return len(e.crashes) > 1 }

// Digest returns a hash of the evidence about requests with repeated crashes, without its
// times, or 0 without any.
func (t *Table) Digest() uint64 {
	var digest uint64
	for fingerprint, e := range t.repeated {
		buffer := binary.BigEndian.AppendUint64(nil, fingerprint)
		onTrial := 0
		for _, c := range e.crashes {
			if c.onTrial {
				onTrial++
			}
		}
		buffer = append(buffer, byte(len(e.crashes)), byte(onTrial))
		digest ^= xxhash.Sum64(buffer)
	}
	return digest
}
