package queue

import "github.com/gypsumrail/gypsumrail"

// delayBuckets is the number of buckets of the sample window. With ten, a sample
// leaves the window early by at most a tenth of its length.
const delayBuckets = 10

// minDelay tracks the smallest delay in a sliding window.
type minDelay struct {
	width   gypsumrail.Millis // of one bucket
	current int64             // number of the newest bucket, counted from time zero
	minima  [delayBuckets]gypsumrail.Millis
	used    [delayBuckets]bool
}

func newMinDelay(window gypsumrail.Millis) minDelay {
	return minDelay{width: max(1, window/delayBuckets)}
}

// advance moves the window to now and clears the buckets that left it.
func (d *minDelay) advance(now gypsumrail.Millis) {
	bucket := int64(now / d.width)
	if bucket-d.current >= delayBuckets {
		d.used = [delayBuckets]bool{}
		d.current = bucket
		return
	}
	for d.current < bucket {
		d.current++
		d.used[d.current%delayBuckets] = false
	}
}

func (d *minDelay) add(now, delay gypsumrail.Millis) {
	d.advance(now)
	i := d.current % delayBuckets
	if !d.used[i] || delay < d.minima[i] {
		d.minima[i], d.used[i] = delay, true
	}
}

// smallest returns the smallest delay in the window, or false if it has no sample.
func (d *minDelay) smallest(now gypsumrail.Millis) (gypsumrail.Millis, bool) {
	d.advance(now)
	var least gypsumrail.Millis
	found := false
	for i, used := range d.used {
		if used && (!found || d.minima[i] < least) {
			least, found = d.minima[i], true
		}
	}
	return least, found
}
