// Package values decides which version of each platform value is in force on a
// node.
//
// Versions reach a node late, repeatedly and from sources that disagree: peers
// on the other side of a partition, a stale platform, a process that was
// paused. The rule that a version in force is replaced only by a higher one
// makes all nodes converge to the highest without a coordinator, and makes it
// impossible that an accepted configuration is undone. Nothing here reads a
// clock; time is an argument.
package values

import (
	"cmp"

	"github.com/gypsumrail/gypsumrail"
)

// Settings are the limits of a Values. Zero values take the defaults.
type Settings struct {
	JumpMax      gypsumrail.Revision // how far a peer may be ahead; default 2^20
	FetchTimeout gypsumrail.Millis   // after which a fetch is forgotten; default 2 s
	MissingAfter gypsumrail.Millis   // wait for the first records; default 5 s
}

const (
	// A revision counts publications. At 1,900 changes a day a fleet takes more
	// than a year for this many, so a peer that is further ahead is in error.
	defaultJumpMax = 1 << 20
	// The shell does not tell when a fetch fails, so one that takes longer counts
	// as lost and another source is asked.
	defaultFetchTimeout = 2 * gypsumrail.Second
	defaultMissingAfter = 5 * gypsumrail.Second
)

func (s Settings) withDefaults() Settings {
	s.JumpMax = cmp.Or(s.JumpMax, defaultJumpMax)
	s.FetchTimeout = cmp.Or(s.FetchTimeout, defaultFetchTimeout)
	s.MissingAfter = cmp.Or(s.MissingAfter, defaultMissingAfter)
	return s
}

// value is what is known of one platform value.
type value struct {
	current  gypsumrail.ValueVersion
	fetching gypsumrail.ValueVersion // revision 0 if no fetch is running
	since    gypsumrail.Millis       // start of the fetch
	refused  gypsumrail.ValueVersion // the highest version whose contents were not valid
}

// Values implements gypsumrail.Values. It is not safe for concurrent use.
type Values struct {
	settings Settings
	values   []value // ordered by name
	absurd   uint64
	began    bool
	start    gypsumrail.Millis // time of the first call
	now      gypsumrail.Millis // never goes back
}

var _ gypsumrail.Values = (*Values)(nil)

// New returns a Values with nothing in force. The wait for the first records
// begins at the time of the first call.
func New(settings Settings) *Values {
	v := &Values{settings: settings.withDefaults()}
	for _, name := range []gypsumrail.ValueName{gypsumrail.ValueInstances, gypsumrail.ValueRecords} {
		none := gypsumrail.ValueVersion{Name: name}
		v.values = append(v.values, value{current: none, fetching: none, refused: none})
	}
	return v
}

// compare orders the versions of one value.
func compare(a, b gypsumrail.ValueVersion) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Hash, b.Hash))
}

// find returns a value, or nil if the platform has none of this name.
func (v *Values) find(name gypsumrail.ValueName) *value {
	for i := range v.values {
		if v.values[i].current.Name == name {
			return &v.values[i]
		}
	}
	return nil
}

func (v *Values) advance(now gypsumrail.Millis) {
	if !v.began {
		v.began = true
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

// Versions returns the versions in force, ordered by name. Values of which none
// is in force are left out.
func (v *Values) Versions() []gypsumrail.ValueVersion {
	versions := make([]gypsumrail.ValueVersion, 0, len(v.values))
	for i := range v.values {
		if v.values[i].current.Revision != 0 {
			versions = append(versions, v.values[i].current)
		}
	}
	return versions
}

// acceptable returns the value that a version is for if the version is higher
// than the one in force and not absurdly far ahead, else nil. A node with
// nothing in force has no measure of what is absurd and takes any revision.
func (v *Values) acceptable(version gypsumrail.ValueVersion, peer bool) *value {
	known := v.find(version.Name)
	if known == nil || version.Revision == 0 || compare(version, known.current) <= 0 {
		return nil
	}
	if peer && known.current.Revision != 0 && version.Revision-known.current.Revision > v.settings.JumpMax {
		v.absurd++
		return nil
	}
	return known
}

// Wants tells whether an offered version should be fetched, and if so takes the
// fetch as started. While a fetch runs, only a higher version is wanted; a fetch
// that has not ended in an adoption after the timeout is forgotten.
func (v *Values) Wants(now gypsumrail.Millis, offered gypsumrail.ValueVersion, peer bool) bool {
	v.advance(now)
	known := v.acceptable(offered, peer)
	if known == nil || offered == known.refused {
		return false
	}
	running := known.fetching.Revision != 0 && v.now-known.since < v.settings.FetchTimeout
	if running && compare(offered, known.fetching) <= 0 {
		return false
	}
	known.fetching, known.since = offered, v.now
	return true
}

// Adopt puts a fetched version in force if it is newer and reports whether it
// did. The caller has validated the contents.
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

// Refuse records that the contents of a fetched version are not valid, so that
// the version is not fetched again. Without it a node of an old schema version
// would fetch the records of a newer one from every peer again and again.
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

// Missing tells whether the time to wait for a first version of the records is
// over and none was found.
func (v *Values) Missing(now gypsumrail.Millis) bool {
	v.advance(now)
	return v.Current(gypsumrail.ValueRecords).Revision == 0 && v.now-v.start >= v.settings.MissingAfter
}

// Absurd returns the number of versions of peers that were dropped because they
// were too far ahead.
func (v *Values) Absurd() uint64 { return v.absurd }
