package report

import (
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// Group holds the results of one trace.
type Group struct {
	File *trace.File
	Rows [][]*Result // by policy, then by seed
}

// summary holds the mean of a figure over the seeds and the largest distance of a
// value from the mean.
type summary struct{ mean, maxDeviation float64 }

func summarize(row []*Result, figure func(r *Result) float64) summary {
	var s summary
	for _, r := range row {
		s.mean += figure(r) / float64(len(row))
	}
	for _, r := range row {
		s.maxDeviation = max(s.maxDeviation, math.Abs(figure(r)-s.mean))
	}
	return s
}

// text formats the mean, followed by the largest distance if there is more than
// one seed.
func (s summary) text(format string, seeds int) string {
	text := fmt.Sprintf(format, s.mean)
	if seeds > 1 {
		text += "±" + strings.TrimSpace(fmt.Sprintf(format, s.maxDeviation))
	}
	return text
}

// column is one column of the table of policies.
type column struct {
	title  string
	format string
	figure func(r *Result) float64
}

var columns = []column{
	{"share%", "%.1f", func(r *Result) float64 { return 100 * r.Share }},
	{"now%", "%.1f", func(r *Result) float64 { return 100 * r.ShareNow }},
	{"wasted%", "%.1f", func(r *Result) float64 { return percent(float64(r.WastedMillis), float64(r.WorkMillis)) }},
	{"att", "%.2f", func(r *Result) float64 { return r.Attempts }},
	{"max", "%.0f", func(r *Result) float64 { return float64(r.AttemptsMax) }},
	{"retries", "%.0f", func(r *Result) float64 { return float64(r.Retries) }},
	{"over", "%.0f", func(r *Result) float64 { return float64(r.RetriesOver) }},
	{"sheds", "%.0f", func(r *Result) float64 { return float64(r.Sheds) }},
	{"invert%", "%.2f", func(r *Result) float64 { return percent(float64(r.Inversions), float64(r.Sheds)) }},
	{"recov s", "%.1f", func(r *Result) float64 { return float64(r.Recovery) / 1000 }},
	{"runs", "%.0f", func(r *Result) float64 { return float64(r.RunsMax) }},
	{"notrun", "%.0f", func(r *Result) float64 { return float64(r.NotRunRan) }},
}

// percent returns part as a percentage of whole, and 0 if whole is 0.
func percent(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}

// WriteTables writes the results of one trace as a table of the policies and a
// table of the classes. Goodput is shown as a percentage of the oracle's.
func WriteTables(w io.Writer, g *Group) {
	first := g.Rows[0][0]
	offered := 0
	for _, c := range first.Classes {
		offered += c.Offered
	}
	seeds := len(g.Rows[0])
	fmt.Fprintf(w, "%s: %d requests in %.0f s, seed %d", g.File.Header.Name, offered,
		float64(g.File.Header.Until)/1000, first.Seed)
	if seeds > 1 {
		fmt.Fprintf(w, " to %d, mean ± largest distance from it", first.Seed+uint64(seeds)-1)
	}
	fmt.Fprintln(w)
	width := 8
	if seeds > 1 {
		width = 11
	}
	shown := columns
	if seeds > 1 {
		// Without max, retries and sheds, a line stays within 120 characters; --json
		// has them.
		shown = []column{columns[0], columns[1], columns[2], columns[3], columns[6], columns[8], columns[9], columns[10], columns[11]}
	}
	fmt.Fprintf(w, "  %-11s", "policy")
	for _, c := range shown {
		fmt.Fprintf(w, "%*s", width, c.title)
	}
	fmt.Fprintln(w)
	for _, row := range g.Rows {
		fmt.Fprintf(w, "  %-11s", row[0].Policy)
		for _, c := range shown {
			text := summarize(row, c.figure).text(c.format, seeds)
			if c.title == "recov s" {
				text = recoveryText(row, text)
			}
			fmt.Fprintf(w, "%*s", width, text)
		}
		fmt.Fprintln(w)
	}
	writeClasses(w, g)
}

// recoveryText replaces the text of the recovery time by "-" if there was no
// trigger, and puts ">" before it if a replay did not recover.
func recoveryText(row []*Result, text string) string {
	for _, r := range row {
		switch {
		case r.Recovery < 0:
			return "-"
		case !r.Recovered:
			return ">" + text
		}
	}
	return text
}

// writeClasses writes, for each class, the goodput under each policy as a
// percentage of the oracle's, and the sheds and inversions of policy full with
// its first seed (of the first policy if full is not among them).
func writeClasses(w io.Writer, g *Group) {
	fmt.Fprintf(w, "  %-24s%4s%8s%8s |", "class (% of oracle)", "imp", "offered", "oracle")
	for _, row := range g.Rows {
		fmt.Fprintf(w, "%7s", strings.TrimPrefix(row[0].Policy, "full-"))
	}
	fmt.Fprintf(w, " |%7s%6s\n", "sheds", "inv")
	fullRow := g.Rows[0]
	for _, row := range g.Rows {
		if row[0].Policy == "full" {
			fullRow = row
		}
	}
	for i, c := range g.Rows[0][0].Classes {
		fmt.Fprintf(w, "  %-24.24s%4d%8d%8d |", c.Name, c.Importance, c.Offered, c.Oracle)
		for _, row := range g.Rows {
			good := summarize(row, func(r *Result) float64 { return percent(float64(r.Classes[i].Good), float64(r.Classes[i].Oracle)) })
			fmt.Fprintf(w, "%7.1f", good.mean)
		}
		d := fullRow[0].Classes[i]
		fmt.Fprintf(w, " |%7d%6d\n", d.Sheds, d.Inversions)
	}
}
