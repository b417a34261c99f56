package queue

import "github.com/gypsumrail/gypsumrail"

// delayBuckets is the number of parts of the window. Ten parts let a sample
// leave the window at most a tenth of the window late.
const delayBuckets = 10

// minDelay keeps the smallest delay over a sliding window.
type minDelay struct {
	width   gypsumrail.Millis // of one bucket
	current int64             // number of the newest bucket since time zero
	least   [delayBuckets]gypsumrail.Millis
	used    [delayBuckets]bool
}

func newMinDelay(window gypsumrail.Millis) minDelay {
	return minDelay{width: max(1, window/delayBuckets)}
}

// advance drops the buckets that left the window.
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
	if !d.used[i] || delay < d.least[i] {
		d.least[i], d.used[i] = delay, true
	}
}

// smallest returns the smallest delay in the window, or false if there was none.
func (d *minDelay) smallest(now gypsumrail.Millis) (gypsumrail.Millis, bool) {
	d.advance(now)
	var least gypsumrail.Millis
	found := false
	for i, used := range d.used {
		if used && (!found || d.least[i] < least) {
			least, found = d.least[i], true
		}
	}
	return least, found
}
