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

// Measure describes a cost that grows with a size.
type Measure struct {
	Name   string
	Unit   string                 // of the cost
	Per    string                 // unit of the size, such as "instance"
	Sizes  []int                  // sizes to measure at
	Target float64                // size to extrapolate to
	Cost   func(size int) float64 // measures the cost once
}

// Result holds the measured points of a cost and the line through them.
type Result struct {
	Measure Measure
	Points  []Point
	Line    Line
}

// Run measures a cost five times at each size and uses the median, because
// single measurements are off: other work on the machine adds to a time, and
// garbage that is collected late reduces the growth of a heap.
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

// number formats v with three significant digits, or as an integer from 1000 on
// so that no exponent appears.
func number(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// heapBytes returns the growth of the heap, in bytes, that the result of build
// causes.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(int64(after.HeapAlloc) - int64(before.HeapAlloc))
}

// cpuMicros returns the mean processor time of n runs in microseconds. Unlike
// elapsed time, it does not include the time of other processes.
func cpuMicros(n int, run func()) float64 {
	start := cpuTime()
	for range n {
		run()
	}
	return float64((cpuTime() - start).Microseconds()) / float64(n)
}

// cpuTime returns the processor time that this process has used, user and system.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
