package replay

import (
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

// fixed is a directory whose list never changes by gossip.
type fixed struct {
	self       gypsumrail.Instance
	list       []gypsumrail.Instance
	generation uint64
}

func (f *fixed) Self() gypsumrail.Instance                                 { return f.self }
func (f *fixed) Merge(gypsumrail.Millis, []gypsumrail.Instance) bool       { return false }
func (f *fixed) Observe(gypsumrail.Millis, gypsumrail.Instance) bool       { return false }
func (f *fixed) MarkSuspect(gypsumrail.Millis, string) bool                { return false }
func (f *fixed) Leave(gypsumrail.Millis)                                   {}
func (f *fixed) Rumors(gypsumrail.Millis, int) []gypsumrail.Instance       { return nil }
func (f *fixed) Buckets() (buckets [gypsumrail.DigestBuckets]uint64)       { return }
func (f *fixed) Bucket(int) []gypsumrail.Instance                          { return nil }
func (f *fixed) Partner(uint64) (instance gypsumrail.Instance, found bool) { return }
func (f *fixed) IsReader() bool                                            { return false }
func (f *fixed) Generation() uint64                                        { return f.generation }
func (f *fixed) Len() int                                                  { return len(f.list) }

func (f *fixed) MergeList(_ gypsumrail.Millis, list []gypsumrail.Instance) bool {
	f.list = slices.Clone(list)
	f.generation++
	return true
}

func (f *fixed) Upstreams(service string) []gypsumrail.Instance {
	var found []gypsumrail.Instance
	for _, i := range f.list {
		if i.Service == service {
			found = append(found, i)
		}
	}
	return found
}

func (f *fixed) Lookup(name string) (gypsumrail.Instance, bool) {
	for _, i := range f.list {
		if i.Name == name {
			return i, true
		}
	}
	return gypsumrail.Instance{}, false
}

// once accepts each value once.
type once struct{}

func (once) Current(gypsumrail.ValueName) (version gypsumrail.ValueVersion) { return }
func (once) Versions() []gypsumrail.ValueVersion                            { return nil }
func (once) Wants(gypsumrail.Millis, gypsumrail.ValueVersion, bool) bool    { return false }
func (once) Adopt(gypsumrail.Millis, gypsumrail.ValueVersion, bool) bool    { return true }
func (once) Missing(gypsumrail.Millis) bool                                 { return false }
