package slope

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"
)

// Measure is a cost that grows with a size.
type Measure struct {
	Name   string
	Unit   string
	Per    string // what the size counts
	Sizes  []int
	Target float64 // size at the target
	Cost   func(size int) float64
}

// Result is a measured cost with its line.
type Result struct {
	Measure Measure
	Points  []Point
	Line    Line
}

// Run measures all sizes of a cost, each five times, and keeps the median: other
// work on the machine adds to a time, and a late collection takes from a heap.
func Run(m Measure) Result {
	r := Result{Measure: m}
	m.Cost(m.Sizes[0]) // fills caches and pools
	for _, size := range m.Sizes {
		var costs [5]float64
		for i := range costs {
			costs[i] = m.Cost(size)
		}
		slices.Sort(costs[:])
		r.Points = append(r.Points, Point{float64(size), costs[len(costs)/2]})
	}
	r.Line = Fit(r.Points)
	return r
}

// Write writes results as a Markdown table.
func Write(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| cost | unit | per | sizes | measured | fixed | slope | residual | at target |")
	fmt.Fprintln(t, "|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		sizes, costs := "", ""
		for i, p := range r.Points {
			if i > 0 {
				sizes += ", "
				costs += ", "
			}
			sizes += fmt.Sprintf("%.0f", p.Size)
			costs += number(p.Cost)
		}
		fmt.Fprintf(t, "| %s | %s | %s | %s | %s | %s | %s | %.0f%% | %s at %.0f |\n",
			r.Measure.Name, r.Measure.Unit, r.Measure.Per, sizes, costs, number(r.Line.Fixed), number(r.Line.Slope),
			100*r.Line.Residual, number(r.Line.At(r.Measure.Target)), r.Measure.Target)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

// number prints three significant digits without an exponent for common sizes.
func number(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// heapOf returns the heap bytes that what build returns keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(int64(after.HeapAlloc) - int64(before.HeapAlloc))
}

// cpuOf returns the processor time in microseconds of one of n runs. Unlike
// elapsed time it does not count what other processes do.
func cpuOf(n int, run func()) float64 {
	start := cpuTime()
	for range n {
		run()
	}
	return float64((cpuTime() - start).Microseconds()) / float64(n)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
