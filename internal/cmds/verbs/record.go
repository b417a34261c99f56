package verbs

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
	"github.com/gypsumrail/gypsumrail/internal/node/admin"
	"github.com/gypsumrail/gypsumrail/internal/node/redact"
	"github.com/gypsumrail/gypsumrail/record"
)

type recordArgs struct {
	Address   string `arg:"positional,env:GYPSUMRAIL_ADDRESS" placeholder:"ADDRESS" help:"IP address and port of the admin endpoint (required)"`
	For       string `arg:"--for,env:GYPSUMRAIL_FOR" placeholder:"DURATION" help:"length of the recording, 1s to 10m [default: 10s]"`
	MaxEvents string `arg:"--max-events,env:GYPSUMRAIL_MAX_EVENTS" placeholder:"N" help:"events after which the recording ends, 1 to 1000000 [default: 100000]"`
	Out       string `arg:"--out,env:GYPSUMRAIL_OUT" placeholder:"FILE" help:"file for the trace [default: standard output]"`
	Records   string `arg:"--records,env:GYPSUMRAIL_RECORDS" placeholder:"FILE" help:"record set in force, which the trace then begins with"`
	Salt      string `arg:"--salt,env:GYPSUMRAIL_SALT" help:"secret that makes pseudonyms equal in several recordings [default: random]"`
}

// Description returns the text at the top of the help output.
func (recordArgs) Description() string {
	return "Records the events of a node as a trace for 'gypsumrail replay'. Request identities and\n" +
		"idempotency keys are replaced by pseudonyms."
}

// Bounds of a recording.
const (
	recordForDefault    = 10 * time.Second
	recordForMin        = time.Second
	recordForMax        = 10 * time.Minute
	recordEventsDefault = 100_000
	recordEventsMax     = 1_000_000
)

// recordPlan holds the validated settings of record.
type recordPlan struct {
	client    *admin.Client
	length    time.Duration
	eventsMax int
	mask      *redact.Mask
	recordSet []byte              // content of the file of --records, or nil
	records   *gypsumrail.Records // the same, parsed
	out       string
}

func runRecord(args []string, out, errOut io.Writer) int {
	var settings recordArgs
	if code, ok := parseArgs("record", &settings, args, out, errOut); !ok {
		return code
	}
	plan, errs := buildRecord(settings)
	if len(errs) > 0 {
		return errs.write("record", errOut)
	}
	if err := plan.run(out, errOut); err != nil {
		fmt.Fprintf(errOut, "gypsumrail record: %v\n", err)
		return ExitNotMet
	}
	return ExitOK
}

func buildRecord(settings recordArgs) (recordPlan, settingErrors) {
	var errs settingErrors
	errs.address(settings.Address)
	plan := recordPlan{
		client:    admin.NewClient(settings.Address),
		length:    errs.duration("--for", settings.For, recordForMin, recordForMax, recordForDefault),
		eventsMax: errs.integer("--max-events", settings.MaxEvents, 1, recordEventsMax, recordEventsDefault),
		out:       settings.Out,
	}
	salt := settings.Salt
	if salt == "" {
		salt = rand.Text()
	}
	plan.mask = redact.New([]byte(salt))
	if settings.Records != "" {
		content, err := os.ReadFile(settings.Records)
		if err == nil {
			plan.records, err = record.Parse(settings.Records, content, record.Options{})
		}
		if err != nil {
			errs.add("--records", err.Error())
		}
		plan.recordSet = content
	}
	return plan, errs
}

// duration parses a duration from low to high. It returns fallback for an empty
// text.
func (e *settingErrors) duration(flag, text string, low, high, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		e.add(flag, fmt.Sprintf("%q is not a duration from %v to %v, such as 30s", text, low, high))
	}
	return value
}

func (plan recordPlan) run(out, errOut io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, plan.length)
	defer cancel()
	before, err := plan.client.Status(ctx)
	if err != nil {
		return err
	}
	if plan.out != "" {
		file, err := os.OpenFile(plan.out, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return err
		}
		defer file.Close() //nolint:errcheck // errors of writes are returned by Flush
		out = file
	}
	r := &recorder{plan: &plan, out: out}
	if err := r.record(ctx, before); err != nil {
		return err
	}
	fmt.Fprintf(errOut, "recorded %s, %d bytes; %s\n", count(r.events, "event"), r.bytes, r.endReason)
	// ctx may have expired during the recording.
	ctx, cancel = context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	if after, err := plan.client.Status(ctx); err == nil && after.Shell.EventsDropped > before.Shell.EventsDropped {
		fmt.Fprintf(errOut, "the trace has gaps: the node dropped %d events because readers of its stream were too slow\n",
			after.Shell.EventsDropped-before.Shell.EventsDropped)
	}
	return nil
}

// recorder writes the events of a node as a trace.
type recorder struct {
	plan      *recordPlan
	out       io.Writer
	writer    *trace.Writer
	bytes     int64 // written to out
	events    int   // written to the trace, those of the initial state included
	started   bool  // the first event of the node has arrived
	endReason string
	err       error
}

// Write writes a part of the trace to out and counts its bytes.
func (r *recorder) Write(p []byte) (int, error) {
	n, err := r.out.Write(p)
	r.bytes += int64(n)
	return n, err
}

func (r *recorder) record(ctx context.Context, status *admin.Status) error {
	buffered := bufio.NewWriter(r)
	self := status.Node.Self
	writer, err := trace.NewWriter(buffered, trace.Header{
		Kind: trace.KindNode, Name: "recorded-" + self.Name, Self: self, Plain: status.Node.Plain, Records: json.RawMessage(r.plan.recordSet),
	})
	if err != nil {
		return err
	}
	r.writer = writer
	r.endReason = "the node ended the stream"
	err = r.plan.client.Events(ctx, func(event *gypsumrail.Event) bool {
		if !r.started {
			r.started = true
			// The stream of a node for plain requests already begins with its state.
			if !status.Node.Plain {
				r.writeInitialState(event.At, status)
			}
		}
		r.plan.mask.Event(event)
		r.writeEvent(event)
		switch {
		case r.err != nil:
			return false
		case r.events >= r.plan.eventsMax:
			r.endReason = "--max-events was reached"
		case r.bytes+trace.LineBytesMax > trace.FileBytesMax:
			r.endReason = "the trace reached its maximum size"
		default:
			return true
		}
		return false
	})
	if ctx.Err() != nil && r.err == nil {
		r.endReason = "the time was over"
	}
	if err == nil {
		err = r.err
	}
	if err == nil {
		err = buffered.Flush()
	}
	return err
}

// writeInitialState writes the state of the node at the start of the recording as
// events that a replay reads: the records, if they were given, and the instances.
// For other instances, a status holds neither the address, which no decision needs,
// nor the incarnation, so a replay refuses keyed calls whose home is one of them.
func (r *recorder) writeInitialState(at gypsumrail.Millis, status *admin.Status) {
	if r.plan.records != nil {
		r.writeEvent(&gypsumrail.Event{
			Kind: gypsumrail.RecordsRead, At: at, Records: r.plan.records,
			Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: r.plan.records.Revision},
		})
	}
	read := gypsumrail.Event{
		Kind: gypsumrail.InstancesRead, At: at, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1},
	}
	read.Instances = append(read.Instances, status.Node.Self)
	for _, service := range status.Node.Services {
		for _, u := range service.Upstreams {
			if u.Instance == status.Node.Self.Name {
				continue
			}
			read.Instances = append(read.Instances, gypsumrail.Instance{
				Name: u.Instance, Service: service.Name, Zone: u.Zone, State: gypsumrail.Live,
			})
		}
	}
	r.writeEvent(&read)
}

func (r *recorder) writeEvent(event *gypsumrail.Event) {
	if r.err == nil {
		r.err = r.writer.Event(event)
		r.events++
	}
}
