package wire

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

// The largest numbers accepted in load reports, instance lists and hints.
const (
	slotsMax   = 1 << 20           // slots, limits, in-flight and queued calls
	hintAgeMax = gypsumrail.Minute // age of a hint
)

// FormatNode returns the value of HeaderNode for an instance, for ParseNode to
// read.
func FormatNode(i gypsumrail.Instance) string {
	return fmt.Sprintf("Name=%s, Service=%s, Zone=%s, Address=%s, Incarnation=%d, Version=%d, State=%s",
		i.Name, i.Service, i.Zone, i.Address, i.Incarnation, i.Version, i.State)
}

// ParseNode parses the value of HeaderNode. The error is a *FieldError.
func ParseNode(value string) (gypsumrail.Instance, error) {
	m, err := parsePairs(HeaderNode, value)
	if err != nil {
		return gypsumrail.Instance{}, err
	}
	p := &pairReader{header: HeaderNode, values: m}
	i := gypsumrail.Instance{
		Name:        p.name("Name"),
		Service:     p.name("Service"),
		Zone:        p.name("Zone"),
		Address:     m["Address"],
		Incarnation: gypsumrail.Incarnation(p.unsigned("Incarnation", 64)),
		Version:     p.unsigned("Version", 64),
		State:       gypsumrail.State(m["State"]),
	}
	if !ValidAddress(i.Address) {
		p.fail("Address")
	}
	if !ValidState(i.State) {
		p.fail("State")
	}
	if p.err != nil {
		return gypsumrail.Instance{}, p.err
	}
	return i, nil
}

// ValidState reports whether a state is Live, Suspect or Leaving.
func ValidState(state gypsumrail.State) bool {
	return state == gypsumrail.Live || state == gypsumrail.Suspect || state == gypsumrail.Leaving
}

// ValidAddress reports whether an address is an IP address, not a host name, and
// a port from 1 to 65535.
func ValidAddress(address string) bool {
	if len(address) > addressMax {
		return false
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// ValidText reports whether a value is a valid request ID: 1 to 128 printable
// ASCII characters without spaces.
func ValidText(value string) bool { return validText(value, requestMax) }

// ValidName reports whether a value is a valid name of a service, class, account,
// zone or instance: 1 to 64 letters, digits, '.', '_' or '-'.
func ValidName(value string) bool { return validName(value) }

// SetAnswer sets the Gypsumrail headers of an answer to another node.
// AllowanceLeft, the number of hints and their ages are clamped to the limits
// of ParseAnswer.
func SetAnswer(h http.Header, attemptID string, result gypsumrail.Result) {
	setOrDelete(h, HeaderAttemptID, attemptID)
	setOrDelete(h, HeaderOutcome, string(result.Outcome))
	setOrDelete(h, HeaderReason, string(result.Reason))
	setNumber(h, HeaderAllowanceLeft, int64(result.AllowanceLeft), 0, allowanceMax)
	if result.Report != nil {
		h.Set(HeaderReport, formatReport(result.Report))
	}
	if len(result.Hints) > 0 {
		h.Set(HeaderHints, FormatHints(result.Hints))
	}
}

// ParseAnswer parses the headers of an answer from another node. It returns a
// *FieldError if the answer belongs to another attempt, or if a field is missing
// or malformed. A Retry-After that is malformed or longer than 3600 s is ignored.
func ParseAnswer(attemptID string, status int, h http.Header) (gypsumrail.Result, error) {
	f := &headerReader{header: h}
	if got := f.single(HeaderAttemptID, true); f.err == nil && got != attemptID {
		f.fail(HeaderAttemptID, "belongs to another attempt")
	}
	result := gypsumrail.Result{
		Status:        status,
		Outcome:       gypsumrail.Outcome(f.single(HeaderOutcome, true)),
		Reason:        gypsumrail.Reason(f.name(HeaderReason, false)),
		AllowanceLeft: int(f.number(HeaderAllowanceLeft, 0, allowanceMax, 0, true)),
	}
	if f.err == nil && !ValidOutcome(result.Outcome) {
		f.fail(HeaderOutcome, "must be NotRun, Ran or Unknown")
	}
	if seconds, ok := parseNumber(h.Get("Retry-After"), 0, 3600); ok {
		result.RetryAfter = gypsumrail.Millis(seconds) * gypsumrail.Second
	}
	if value := f.single(HeaderReport, false); value != "" && f.err == nil {
		result.Report, f.err = parseReport(value)
	}
	if value := f.single(HeaderHints, false); value != "" && f.err == nil {
		result.Hints, f.err = ParseHints(value)
	}
	if f.err != nil {
		return gypsumrail.Result{}, f.err
	}
	return result, nil
}

// ParseLoad parses the HeaderLoad of a target's answer. The report is optional,
// so a malformed one is not an error; ok is then false.
func ParseLoad(h http.Header) (slots, busy int, ok bool) {
	busyText, slotsText, found := strings.Cut(h.Get(HeaderLoad), "/")
	if !found {
		return 0, 0, false
	}
	b, okBusy := parseNumber(busyText, 0, slotsMax)
	s, okSlots := parseNumber(slotsText, 1, slotsMax)
	return int(s), int(b), okBusy && okSlots
}

// ValidOutcome reports whether an outcome is NotRun, Ran or Unknown.
func ValidOutcome(o gypsumrail.Outcome) bool {
	return o == gypsumrail.NotRun || o == gypsumrail.Ran || o == gypsumrail.Unknown
}

func formatReport(r *gypsumrail.Report) string {
	text := fmt.Sprintf("Instance=%s, Incarnation=%d, Sequence=%d, Limit=%d, InFlight=%d, Queued=%d, Threshold=%d, Epoch=%d, Leaving=%t",
		r.Instance, r.Incarnation, r.Sequence, r.Limit, r.InFlight, r.Queued, r.Threshold, r.Epoch, r.Leaving)
	if r.RateLimit > 0 {
		text += ", RateLimit=" + FormatRateLimit(r.RateLimit)
	}
	return text
}

func parseReport(value string) (*gypsumrail.Report, error) {
	m, err := parsePairs(HeaderReport, value)
	if err != nil {
		return nil, err
	}
	p := &pairReader{header: HeaderReport, values: m}
	r := &gypsumrail.Report{
		Instance:    p.name("Instance"),
		Incarnation: gypsumrail.Incarnation(p.unsigned("Incarnation", 64)),
		Sequence:    p.unsigned("Sequence", 64),
		Limit:       p.number("Limit", slotsMax),
		InFlight:    p.number("InFlight", slotsMax),
		Queued:      p.number("Queued", slotsMax),
		Threshold:   gypsumrail.Level(p.number("Threshold", int64(gypsumrail.LevelMax))),
		Epoch:       uint32(p.unsigned("Epoch", 32)),
		Leaving:     m["Leaving"] == "true",
	}
	if m["Leaving"] != "true" && m["Leaving"] != "false" {
		p.fail("Leaving")
	}
	if value, ok := m["RateLimit"]; ok { // nodes of earlier versions do not send it
		if r.RateLimit, ok = ParseRateLimit(value); !ok {
			p.fail("RateLimit")
		}
	}
	if p.err != nil {
		return nil, p.err
	}
	return r, nil
}

// FormatHints returns the value of HeaderHints. Hints beyond HintsMax are left
// out, and ages are clamped to the range that ParseHints accepts.
func FormatHints(hints []gypsumrail.Hint) string {
	var b strings.Builder
	for i, hint := range hints[:min(len(hints), HintsMax)] {
		if i > 0 {
			b.WriteString(", ")
		}
		age := min(max(hint.Age, 0), hintAgeMax)
		fmt.Fprintf(&b, "%s:%d:%d", hint.Service, hint.Threshold, age)
	}
	return b.String()
}

// ParseHints parses the value of HeaderHints. The error is a *FieldError.
func ParseHints(value string) ([]gypsumrail.Hint, error) {
	parts := strings.SplitN(value, ",", HintsMax+1)
	if len(parts) > HintsMax {
		return nil, &FieldError{Field: HeaderHints, Problem: fmt.Sprintf("has more than %d entries", HintsMax)}
	}
	hints := make([]gypsumrail.Hint, 0, len(parts))
	for _, part := range parts {
		members := strings.Split(strings.TrimSpace(part), ":")
		malformed := &FieldError{Field: HeaderHints, Problem: "must be a list of service:threshold:age"}
		if len(members) != 3 || !validName(members[0]) {
			return nil, malformed
		}
		threshold, okThreshold := parseNumber(members[1], 0, int64(gypsumrail.LevelMax))
		age, okAge := parseNumber(members[2], 0, int64(hintAgeMax))
		if !okThreshold || !okAge {
			return nil, malformed
		}
		hints = append(hints, gypsumrail.Hint{
			Service: members[0], Threshold: gypsumrail.Level(threshold), Age: gypsumrail.Millis(age),
		})
	}
	return hints, nil
}

// pairReader reads typed values from a header of Name=value pairs. Its err is the
// first fault; the values read are valid only if it is nil.
type pairReader struct {
	header string
	values map[string]string
	err    error
}

func (p *pairReader) fail(member string) {
	if p.err == nil {
		p.err = &FieldError{Field: p.header, Problem: "has a missing or malformed member " + member}
	}
}

func (p *pairReader) name(member string) string {
	value := p.values[member]
	if !validName(value) {
		p.fail(member)
	}
	return value
}

func (p *pairReader) number(member string, high int64) int {
	n, ok := parseNumber(p.values[member], 0, high)
	if !ok {
		p.fail(member)
	}
	return int(n)
}

func (p *pairReader) unsigned(member string, bits int) uint64 {
	n, err := strconv.ParseUint(p.values[member], 10, bits)
	if err != nil {
		p.fail(member)
	}
	return n
}
