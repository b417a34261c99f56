// Package notice writes the numbered log events of a node.
//
// Operators alert on numbers, because the wording of a message may change. Each
// number has one entry in a table with its level, its message and what can be
// done about it; docs/events.md shows the same table. During an incident one
// event can happen thousands of times a second on every node, so each number
// has a rate limit of its own: a storm of one event neither floods the log nor
// hides the others.
package notice

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/gypsumrail/gypsumrail"
)

// Rate limit of one number. Ten lines show that and where something began; after
// that one line a second shows that it goes on and how often.
const (
	burst     = 10
	perSecond = 1
)

// Rate limit of the numbers whose lines stand for one thing each: a request, a
// change of a value, an upstream. Twenty lines a second cost a thousandth of a core.
const (
	singleBurst     = 50
	singlePerSecond = 20
)

// single are these numbers.
var single = []gypsumrail.Notice{
	gypsumrail.NoticeRevisionAdopted, gypsumrail.NoticeUpstreamLost, gypsumrail.NoticeUpstreamBack, 2401, 2402, 2403, 2404, 2405,
}

// Settings of a log.
type Settings struct {
	Node      string        // name of the instance, on every line
	Level     log.Level     // lowest level that is written
	Formatter log.Formatter // text, logfmt or JSON
}

// Logger writes log events. It is safe for concurrent use.
type Logger struct {
	clock  gypsumrail.Clock
	logger *log.Logger

	mu     sync.Mutex
	limits map[gypsumrail.Notice]*limit // of the table's numbers, and one entry with number 0 for all others
}

// limit is the rate limit of one number.
type limit struct {
	tokens     *rate.Limiter
	suppressed uint64 // since the last line
}

// New returns a log that writes to w.
func New(w io.Writer, clock gypsumrail.Clock, settings Settings) *Logger {
	l := &Logger{
		clock: clock,
		logger: log.NewWithOptions(w, log.Options{
			ReportTimestamp: true, TimeFormat: time.RFC3339, TimeFunction: log.NowUTC,
			Level: settings.Level, Formatter: settings.Formatter,
			Fields: []any{"Node", settings.Node},
		}),
		limits: make(map[gypsumrail.Notice]*limit, len(entries)+1),
	}
	for _, e := range entries {
		l.limits[e.Number] = newLimit(e.Number)
	}
	l.limits[0] = newLimit(0)
	return l
}

func newLimit(number gypsumrail.Notice) *limit {
	if slices.Contains(single, number) {
		return &limit{tokens: rate.NewLimiter(singlePerSecond, singleBurst)}
	}
	return &limit{tokens: rate.NewLimiter(perSecond, burst)}
}

// Log writes an event about a subject, unless its number is over its rate; the
// next line of the number then tells how many were left out. The reason and the
// detail may be empty. A number that is not in the table is written as an error,
// because it is a fault of this program.
func (l *Logger) Log(number gypsumrail.Notice, subject string, reason gypsumrail.Reason, detail string) {
	entry, known := Lookup(number)
	if !known {
		entry = Entry{Name: "Unknown", Level: log.ErrorLevel, Message: "log event without an entry in the catalogue"}
	}
	suppressed, ok := l.take(entry.Number)
	if !ok {
		return
	}
	fields := []any{"Notice", int(number), "Name", entry.Name}
	for _, f := range [...]struct{ key, value string }{{"Subject", subject}, {"Reason", string(reason)}, {"Detail", detail}} {
		if f.value != "" {
			fields = append(fields, f.key, f.value)
		}
	}
	if suppressed > 0 {
		fields = append(fields, "Suppressed", suppressed)
	}
	l.logger.Log(entry.Level, entry.Message, fields...)
}

// take takes one line of a number's rate. It returns how many were left out
// since the last one.
func (l *Logger) take(number gypsumrail.Notice) (suppressed uint64, ok bool) {
	at := time.UnixMilli(int64(l.clock.Now()))
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[number]
	if !limit.tokens.AllowN(at, 1) {
		limit.suppressed++
		return 0, false
	}
	suppressed, limit.suppressed = limit.suppressed, 0
	return suppressed, true
}
