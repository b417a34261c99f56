package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Write writes the comparison as two tables and notes on how it was measured.
func (r *Result) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := func(format string, cell func(*Run) []any) {
		for i := range r.Runs {
			fmt.Fprintf(w, format, cell(&r.Runs[i])...)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "answered in time\timportance\t")
	columns("%s, all\ttrigger\t", func(run *Run) []any { return []any{runTitle(run)} })
	for i, c := range r.Runs[0].Classes {
		fmt.Fprintf(w, "%s\t%d\t", c.Name, c.Importance)
		columns("%s\t%s\t", func(run *Run) []any {
			c := run.Classes[i]
			return []any{countOf(c.InTime, c.Sent), countOf(c.InTimeTrigger, c.SentTrigger)}
		})
	}
	fmt.Fprint(w, "weighted by importance\t\t")
	columns("%.1f%%\t%.1f%%\t", func(run *Run) []any { return []any{100 * run.Weighted, 100 * run.WeightedTrigger} })
	if err := w.Flush(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	fmt.Fprintln(out)
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\t")
	columns("%s\t", func(run *Run) []any { return []any{runTitle(run)} })
	fmt.Fprint(w, "recovery after the trigger\t")
	columns("%s\t", func(run *Run) []any { return []any{run.recoveryText()} })
	fmt.Fprint(w, "calls at "+deepService+" per request\t")
	columns("%.2f\t", func(run *Run) []any { return []any{run.DeepPerRequest} })
	fmt.Fprint(w, "reservations started twice\t")
	columns("%d\t", func(run *Run) []any { return []any{run.RanTwice} })
	if err := w.Flush(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	r.writeNotes(out)
	return nil
}

func runTitle(run *Run) string {
	if run.Layer {
		return "with the layer"
	}
	return "without it"
}

func countOf(some, all int) string { return fmt.Sprintf("%d of %d", some, all) }

// recoveryText returns the time to recovery, or the observed time without it.
func (r *Run) recoveryText() string {
	if r.Recovery == nil {
		return fmt.Sprintf("not in %.1f s", r.Observed)
	}
	return fmt.Sprintf("%.1f s", *r.Recovery)
}

func (r *Result) writeNotes(out io.Writer) {
	fmt.Fprintf(out, `
Measured once, in this process, over loopback, on %d processors, in %.0f s for both runs.
Targets, clients and nodes share the machine, so the figures vary from run to run and say
nothing about another network or load; 'gypsumrail replay' gives figures that repeat.
`, r.Processors, r.Seconds)
	for i := range r.Runs {
		if notSent := r.Runs[i].HeldBack; notSent > 0 {
			fmt.Fprintf(out, "%d requests %s were not sent, because %d were running; they count as not answered.\n",
				notSent, runTitle(&r.Runs[i]), inFlightMax)
		}
	}
}
