package admin

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/quota"
)

// Write writes the status as tables for a terminal.
func (s *Status) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	n := &s.Node
	row := func(title, format string, args ...any) {
		fmt.Fprintf(w, "%s\t%s\n", printable(title), printable(fmt.Sprintf(format, args...)))
	}
	row("Node", "%s of service %s in zone %s, peers port %s", n.Self.Name, n.Self.Service, n.Self.Zone, n.Self.Address)
	row("State", "%s", s.state())
	for _, v := range n.Values {
		row(string(v.Name), "%s (hash %016x)%s", revision(v), v.Hash, s.schema(v.Name))
	}
	if len(n.Values) == 0 {
		row("Records", "none%s", s.schema(gypsumrail.ValueRecords))
	}
	row("Directory", "%d instances", n.Instances)
	row("Limit", "%d calls at once: %d run, %d free slots are for importance %d and above",
		n.Report.Limit, n.Report.InFlight, n.Reserved, gypsumrail.ImportanceReserved)
	if n.RateLimit > 0 {
		row("Rate limit", "%g calls a second, as the target states", n.RateLimit)
	}
	if g := &n.Grants; g.Broker != "" {
		row("Grants", "from broker %s, one part in %d of each rate limit; %d requests wait; broker of %d nodes with %.3f of each limit",
			g.Broker, g.Parts, g.Waiting, g.Delegated, g.Shares)
	}
	if load := n.Load; load != nil {
		row("Target", "%d run, %d wait, %d slots, as it states %d ms ago; slowdown %.2f", load.Running, load.Waiting, load.Slots, load.Age, load.Slowdown)
	}
	row("Queue", "%d calls wait", n.Report.Queued)
	row("Threshold", "%s", threshold(n.Report.Threshold))
	row("Calls", "%d as sender, %d as receiver", n.Sends, n.Serves)
	row("Ledger", "%d keys, epoch %d; %d answers kept", n.LedgerSize, n.Report.Epoch, s.Shell.Answers)
	c := &n.Counts
	row("Since start", "%d arrived, %d ran here, %d retries, %d resends joined, %d silent connections, %d pauses",
		c.Arrived, c.Served, c.Retries, c.Joined, c.SilentConns, c.Pauses)
	row("Refused", "%s", refusals(n.Refusals))
	if len(n.Accounts) > 0 {
		row("Tenants", "%s", accounts(n.Accounts))
	}
	if m := s.Shell.AnswerMemory; m != nil {
		row("Answers held", "%s", answerMemory(m))
	}
	if m := s.Shell.RequestMemory; m != nil {
		row("Requests held", "%d of %d kB, %d given up; %d kB unfinished", (m.Reading+m.Ready)/1000, m.Bound/1000, m.GivenUp, m.Reading/1000)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if err := s.writeServices(out); err != nil {
		return err
	}
	return s.writeJudgments(out)
}

// writeJudgments writes the requests that crashed targets, if there are any.
func (s *Status) writeJudgments(out io.Writer) error {
	if len(s.Node.Judgments) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nRequest\tStanding\tEnds in\tCrashes of the targets beside these nodes, and how long ago")
	for _, j := range s.Node.Judgments {
		var crashes []string
		for _, c := range j.Crashes {
			crashes = append(crashes, fmt.Sprintf("%s %v%s", printable(c.Address), c.Age.Duration().Round(time.Second), trialMark(c.OnTrial)))
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\n",
			gypsumrail.FormatFingerprint(j.Fingerprint), j.Standing, j.Left.Duration().Round(time.Second), strings.Join(crashes, ", "))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

// accountsShown bounds the accounts on one line of the table. The status as JSON has more.
const accountsShown = 5

// accounts describes the accounts with the highest usage.
func accounts(all []gypsumrail.AccountUse) string {
	var words []string
	for _, a := range all[:min(len(all), accountsShown)] {
		words = append(words, fmt.Sprintf("%s uses %.2f of its limit (%d requests)", a.Account, a.Use, a.Requests))
	}
	return strings.Join(words, ", ")
}

// answerMemory describes the memory that answers take, and the targets that take most.
func answerMemory(m *quota.Usage) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %d kB, %d given up", (m.Reading+m.Ready)/1000, m.Bound/1000, m.GivenUp)
	for _, t := range m.Targets {
		fmt.Fprintf(&b, "; %s %d kB unfinished, %d kB not written", t.Target, t.Reading/1000, t.Ready/1000)
	}
	return b.String()
}

func trialMark(onTrial bool) string {
	if onTrial {
		return " (on trial)"
	}
	return ""
}

// revision describes the revision of a value, with the era of the platform's store if that
// came back from a copy.
func revision(v gypsumrail.ValueVersion) string {
	era, revision := v.Position()
	if era == 0 {
		return fmt.Sprintf("revision %d", revision)
	}
	return fmt.Sprintf("revision %d of era %d", revision, era)
}

func (s *Status) state() string {
	var words []string
	switch {
	case s.Node.Draining:
		words = append(words, "draining")
	case s.Shell.Ready:
		words = append(words, "ready")
	default:
		words = append(words, "not ready")
	}
	if s.Node.Defaults {
		words = append(words, "no records found, built-in defaults in use")
	}
	switch {
	case s.Node.Plain && s.Shell.Source != "":
		words = append(words, "reads the platform from "+s.Shell.Source)
	case s.Node.Plain, s.Node.Reader:
		words = append(words, "reads the platform for its zone")
	}
	return strings.Join(words, "; ")
}

func (s *Status) schema(name gypsumrail.ValueName) string {
	if name != gypsumrail.ValueRecords || s.Node.SchemaMax == 0 {
		return ""
	}
	return fmt.Sprintf(", schema versions up to %d are known", s.Node.SchemaMax)
}

// threshold describes which calls a threshold admits. Of the calls at the importance
// of the threshold, those with a high hash are admitted.
func threshold(level gypsumrail.Level) string {
	switch {
	case level <= 0:
		return "0, every call is admitted"
	case level >= gypsumrail.LevelMax:
		return fmt.Sprintf("%d, no call is admitted", level)
	}
	importance, hash := level/gypsumrail.LevelsPerImportance, level%gypsumrail.LevelsPerImportance
	if hash == 0 {
		return fmt.Sprintf("%d, calls of importance %d and above are admitted", level, importance)
	}
	share := float64(gypsumrail.LevelsPerImportance-hash) / gypsumrail.LevelsPerImportance
	return fmt.Sprintf("%d, calls above importance %d and %.0f%% of those at it are admitted", level, importance, 100*share)
}

func refusals(counts map[gypsumrail.Reason]uint64) string {
	if len(counts) == 0 {
		return "none"
	}
	var words []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return strings.Join(words, ", ")
}

func (s *Status) writeServices(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nService\tRetries left\tUpstream\tZone\tUsable\tOutstanding\tLimit\tExpected\tWhy")
	for _, service := range s.Node.Services {
		name, left := printable(service.Name), fmt.Sprintf("%.1f", service.Budget)
		if len(service.Upstreams) == 0 {
			fmt.Fprintf(w, "%s\t%s\tnone\n", name, left)
		}
		for _, u := range service.Upstreams {
			usable := "no"
			if u.Usable {
				usable = "yes"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d ms\t%s\n",
				name, left, printable(u.Instance), printable(u.Zone), usable, u.Outstanding, u.Limit, u.Expected, printable(u.Why))
			name, left = "", ""
		}
	}
	s.writeZones(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

// writeZones writes the other zones to which calls went or may go.
func (s *Status) writeZones(w io.Writer) {
	header := "\nService\tOther zone\tUtilization\tFraction\tCalls\tMB"
	for _, service := range s.Node.Services {
		for _, z := range service.Zones {
			if z.Calls == 0 && z.Fraction == 0 && !z.Known {
				continue
			}
			utilization := "unknown"
			if z.Known {
				utilization = fmt.Sprintf("%.2f", z.Utilization)
			}
			if header != "" {
				fmt.Fprintln(w, header)
				header = ""
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%d\t%.1f\n",
				printable(service.Name), printable(z.Zone), utilization, z.Fraction, z.Calls, float64(z.Bytes)/1e6)
		}
	}
}

// printable replaces unprintable characters by "?". A status may hold names
// received from other nodes, which could contain terminal control sequences.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}
