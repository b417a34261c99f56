// Package logs writes the numbered log events of a node.
//
// Operators alert on numbers, because the wording of a message may change. Each
// number has one entry in a table with its level, its message, its cause and the
// operator's action; docs/events.md shows the same table. During an incident one
// event can occur thousands of times a second on every node. Each number
// therefore has its own rate limit, so that a frequent event neither floods the
// log nor suppresses other events.
package logs

import (
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/gypsumrail/gypsumrail"
)

// Default rate limit of one number. The first ten lines show where a problem
// began. After that, one line a second shows that it continues, and its Suppressed
// field how often.
const (
	burst     = 10
	perSecond = 1
)

// Rate limit of the numbers whose lines each report a different request, value or
// upstream. Twenty lines a second take a thousandth of a CPU core.
const (
	individualBurst     = 50
	individualPerSecond = 20
)

// individual lists the numbers that have this higher limit. The literals are notices
// of package relay.
var individual = []gypsumrail.Notice{
	gypsumrail.NoticeRevisionAdopted, gypsumrail.NoticeUpstreamLost, gypsumrail.NoticeUpstreamBack,
	gypsumrail.NoticeZoneLeft, gypsumrail.NoticeZoneKept, 2203, 2401, 2402, 2403, 2404, 2405, 2408,
}

// Settings of a Logger.
type Settings struct {
	Node      string        // name of the instance, on every line
	Level     log.Level     // lowest level that is written
	Formatter log.Formatter // text, logfmt or JSON
}

// Logger writes log events with a rate limit for each number. It is safe for
// concurrent use.
type Logger struct {
	clock  gypsumrail.Clock
	logger *log.Logger

	mu     sync.Mutex
	limits map[gypsumrail.Notice]*limit // by number; key 0 is shared by all numbers that are not in the table
}

// limit is the rate limit of one number.
type limit struct {
	tokens     *rate.Limiter
	suppressed uint64 // lines dropped since the last one that was written
}

// New returns a Logger that writes to w. The clock drives the rate limits.
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
	if slices.Contains(individual, number) {
		return &limit{tokens: rate.NewLimiter(individualPerSecond, individualBurst)}
	}
	return &limit{tokens: rate.NewLimiter(perSecond, burst)}
}

// Log writes an event about a subject. If the number is over its rate limit, the
// event is dropped, and the number's next line reports how many were dropped.
// The subject, the reason and the detail may be empty. A number that is not in
// the table is a bug in this program and is logged as an error.
func (l *Logger) Log(number gypsumrail.Notice, subject string, reason gypsumrail.Reason, detail string) {
	entry, known := Lookup(number)
	if !known {
		entry = Entry{Name: "Unknown", Level: log.ErrorLevel, Message: "log event without an entry in the table"}
	}
	suppressed, ok := l.allow(entry.Number)
	if !ok {
		return
	}
	fields := []any{"Notice", int(number), "Name", entry.Name}
	for _, f := range [...]struct{ key, value string }{{"Subject", subject}, {"Reason", string(reason)}, {"Detail", detail}} {
		if f.value != "" {
			fields = append(fields, f.key, shortened(f.value))
		}
	}
	if suppressed > 0 {
		fields = append(fields, "Suppressed", suppressed)
	}
	l.logger.Log(entry.Level, entry.Message, fields...)
}

// valueBytesMax bounds a value in a line. Errors may quote whole messages of others.
const valueBytesMax = 2 << 10

func shortened(value string) string {
	if len(value) <= valueBytesMax {
		return value
	}
	return strings.ToValidUTF8(value[:valueBytesMax], "") + "..."
}

// allow reports whether a line of a number may be written now. If so, it returns
// how many lines were dropped since the last one that was written.
func (l *Logger) allow(number gypsumrail.Notice) (suppressed uint64, ok bool) {
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
