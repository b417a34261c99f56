package ledger

import (
	"runtime"
	"testing"

	"github.com/gypsumrail/gypsumrail"
)

func keys(n int) []gypsumrail.Key {
	out := make([]gypsumrail.Key, n)
	for i := range out {
		out[i] = key(i*Window/n, i*0x9E3779B1)
	}
	return out
}

const lastEpoch = (Window - 1) * EpochLength

// BenchmarkLookup measures State for keys that have an entry, in a ledger at its
// default bound.
func BenchmarkLookup(b *testing.B) {
	all := keys(defaultEntriesMax)
	l := New(self, Settings{})
	for _, k := range all {
		l.Start(lastEpoch, k, 257)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		l.State(lastEpoch, all[i], 257)
		i = (i + 1) % len(all)
	}
}

// BenchmarkStartFinish measures Start and Finish of new keys. The allocations are
// those of the growing maps.
func BenchmarkStartFinish(b *testing.B) {
	all := keys(defaultEntriesMax)
	b.ReportAllocs()
	l, i := New(self, Settings{}), 0
	for b.Loop() {
		if i == len(all) {
			l, i = New(self, Settings{}), 0
		}
		l.Start(lastEpoch, all[i], 257)
		l.Finish(lastEpoch, all[i], gypsumrail.Ran)
		i++
	}
}

// BenchmarkMemory reports the heap bytes per entry of a ledger at its default bound.
func BenchmarkMemory(b *testing.B) {
	all := keys(defaultEntriesMax)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := New(self, Settings{})
		for _, k := range all {
			l.Start(lastEpoch, k, 257)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.Len()), "heap-B/entry")
	}
}
