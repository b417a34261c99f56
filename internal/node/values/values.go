// Package values decides which version of each platform value is in force on a
// node.
//
// Versions reach a node late, repeatedly and from sources that disagree: peers
// on the other side of a partition, a stale platform, a process that was
// paused. A version in force is replaced only by a higher one. So all nodes
// converge to the highest version without a coordinator, and an adopted
// configuration is never rolled back to an older one. The package reads no clock:
// callers pass the time.
package values

import (
	"cmp"

	"github.com/gypsumrail/gypsumrail"
)

// Settings are the limits of a Values. Fields that are zero get the defaults.
type Settings struct {
	JumpMax      gypsumrail.Revision // how many revisions a peer may be ahead; default 2^20
	FetchTimeout gypsumrail.Millis   // a fetch without a result counts as failed after it; default 2 s
	MissingAfter gypsumrail.Millis   // how long to wait for the first records; default 5 s
}

const (
	// A revision counts publications. At 1,900 changes a day a fleet needs more
	// than a year for this many, so a peer that is further ahead is faulty.
	defaultJumpMax = 1 << 20
	// eraJumpMax is how many eras a peer may be ahead. An era ends when the platform is
	// restored from a copy, which is rare.
	eraJumpMax = 64
	// The shell does not report a failed fetch. So a fetch that takes longer counts as
	// failed, and the next offer is fetched, also from another source.
	defaultFetchTimeout = 2 * gypsumrail.Second
	defaultMissingAfter = 5 * gypsumrail.Second
)

func (s Settings) withDefaults() Settings {
	s.JumpMax = cmp.Or(s.JumpMax, defaultJumpMax)
	s.FetchTimeout = cmp.Or(s.FetchTimeout, defaultFetchTimeout)
	s.MissingAfter = cmp.Or(s.MissingAfter, defaultMissingAfter)
	return s
}

// value is the state of one platform value.
type value struct {
	current    gypsumrail.ValueVersion // in force; revision 0 if there is none
	fetching   gypsumrail.ValueVersion // revision 0 if no fetch is running
	fetchStart gypsumrail.Millis
	refused    gypsumrail.ValueVersion // the highest version whose content was invalid
}

// Values implements gypsumrail.Values. It is not safe for concurrent use.
type Values struct {
	settings      Settings
	values        []value // ordered by name
	rejectedJumps uint64
	started       bool              // start is set
	start         gypsumrail.Millis // time of the first call
	now           gypsumrail.Millis // highest time that a caller has given; never decreases
}

var _ gypsumrail.Values = (*Values)(nil)

// New returns a Values with no version in force. The wait for the first records,
// which Missing reports, begins at the time given to the first call that takes one.
func New(settings Settings) *Values {
	v := &Values{settings: settings.withDefaults()}
	for _, name := range []gypsumrail.ValueName{gypsumrail.ValueInstances, gypsumrail.ValueRecords} {
		none := gypsumrail.ValueVersion{Name: name}
		v.values = append(v.values, value{current: none, fetching: none, refused: none})
	}
	return v
}

// compare orders the versions of one value by revision. The hash decides between two
// contents that were published under one revision.
func compare(a, b gypsumrail.ValueVersion) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Hash, b.Hash))
}

// find returns the state of a value, or nil if the name is unknown.
func (v *Values) find(name gypsumrail.ValueName) *value {
	for i := range v.values {
		if v.values[i].current.Name == name {
			return &v.values[i]
		}
	}
	return nil
}

// advance sets the time. A time lower than an earlier one is ignored.
func (v *Values) advance(now gypsumrail.Millis) {
	if !v.started {
		v.started = true
		v.start, v.now = now, now
	}
	v.now = max(v.now, now)
}

// Current returns the version in force; its revision is zero if there is none.
func (v *Values) Current(name gypsumrail.ValueName) gypsumrail.ValueVersion {
	if known := v.find(name); known != nil {
		return known.current
	}
	return gypsumrail.ValueVersion{Name: name}
}

// Versions returns the versions in force, ordered by name. It omits values without a
// version in force.
func (v *Values) Versions() []gypsumrail.ValueVersion {
	versions := make([]gypsumrail.ValueVersion, 0, len(v.values))
	for i := range v.values {
		if v.values[i].current.Revision != 0 {
			versions = append(versions, v.values[i].current)
		}
	}
	return versions
}

// acceptable returns the state of the version's value if the version may replace the
// one in force, else nil. It must be higher than the one in force and, if a peer sent
// it, at most JumpMax revisions ahead. A node with no version in force can't check
// the jump and accepts any revision.
func (v *Values) acceptable(version gypsumrail.ValueVersion, peer bool) *value {
	known := v.find(version.Name)
	if known == nil || version.Revision == 0 || compare(version, known.current) <= 0 {
		return nil
	}
	if peer && known.current.Revision != 0 && !v.isPlausible(known.current, version) {
		v.rejectedJumps++
		return nil
	}
	return known
}

// isPlausible reports whether a peer may have a version, given the one in force. An
// instance list may also be of one of the next eras of the platform's store, in which
// revisions start anew.
func (v *Values) isPlausible(current, version gypsumrail.ValueVersion) bool {
	before, _ := current.Position()
	if era, _ := version.Position(); era != before {
		return era-before <= eraJumpMax
	}
	return version.Revision-current.Revision <= v.settings.JumpMax
}

// Wants reports whether an offered version should be fetched, and if so records that
// the fetch has started. The parameter peer is false if the platform offered it. While
// a fetch runs, only a higher version is fetched. A fetch whose version is not adopted
// within FetchTimeout counts as failed.
func (v *Values) Wants(now gypsumrail.Millis, offered gypsumrail.ValueVersion, peer bool) bool {
	v.advance(now)
	known := v.acceptable(offered, peer)
	if known == nil || offered == known.refused {
		return false
	}
	running := known.fetching.Revision != 0 && v.now-known.fetchStart < v.settings.FetchTimeout
	if running && compare(offered, known.fetching) <= 0 {
		return false
	}
	known.fetching, known.fetchStart = offered, v.now
	return true
}

// Adopt puts a fetched version in force if it is higher than the one in force, and
// reports whether it did. The caller must have validated the content.
func (v *Values) Adopt(now gypsumrail.Millis, fetched gypsumrail.ValueVersion, peer bool) bool {
	v.advance(now)
	known := v.acceptable(fetched, peer)
	if known == nil {
		return false
	}
	known.current = fetched
	if compare(known.fetching, fetched) <= 0 {
		known.fetching = gypsumrail.ValueVersion{Name: fetched.Name}
	}
	return true
}

// Refuse records that the content of a fetched version is invalid, so that the version
// is not fetched again. Otherwise a node with an old schema version would repeatedly
// fetch the records of a newer one from every peer.
func (v *Values) Refuse(now gypsumrail.Millis, fetched gypsumrail.ValueVersion) {
	v.advance(now)
	known := v.find(fetched.Name)
	if known == nil {
		return
	}
	if compare(fetched, known.refused) > 0 {
		known.refused = fetched
	}
	if known.fetching == fetched {
		known.fetching = gypsumrail.ValueVersion{Name: fetched.Name}
	}
}

// Missing reports whether no records are in force although MissingAfter has passed
// since the first call.
func (v *Values) Missing(now gypsumrail.Millis) bool {
	v.advance(now)
	return v.Current(gypsumrail.ValueRecords).Revision == 0 && v.now-v.start >= v.settings.MissingAfter
}

// RejectedJumps returns how often a peer's version was rejected because it was more
// than JumpMax revisions ahead.
func (v *Values) RejectedJumps() uint64 { return v.rejectedJumps }
