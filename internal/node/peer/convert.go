package peer

import (
	"fmt"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Limits of control messages: list lengths, the bytes of a key, and the largest
// number in a report. A bucket holds about a sixteenth of the directory, and a
// message can have up to 32 rumors (recent changes) besides. With long names,
// the byte limit of toExchange is reached before entriesMax.
const (
	entriesMax = 1024
	valuesMax  = 16
	keyMax     = 256
	slotsMax   = 1 << 20
)

func toInstance(i gypsumrail.Instance) *InstanceMessage {
	return &InstanceMessage{
		Name: i.Name, Service: i.Service, Zone: i.Zone, Address: i.Address,
		Incarnation: uint64(i.Incarnation), Version: i.Version, State: string(i.State),
	}
}

func fromInstance(m *InstanceMessage) (gypsumrail.Instance, error) {
	i := gypsumrail.Instance{
		Name: m.GetName(), Service: m.GetService(), Zone: m.GetZone(), Address: m.GetAddress(),
		Incarnation: gypsumrail.Incarnation(m.GetIncarnation()), Version: m.GetVersion(), State: gypsumrail.State(m.GetState()),
	}
	if !wire.ValidName(i.Name) || !wire.ValidName(i.Service) || !wire.ValidName(i.Zone) || !wire.ValidAddress(i.Address) || !wire.ValidState(i.State) {
		return gypsumrail.Instance{}, fmt.Errorf("%w: instance %.64q has a malformed field", ErrMalformed, i.Name)
	}
	return i, nil
}

func toValue(v gypsumrail.ValueVersion) *ValueMessage {
	return &ValueMessage{Name: string(v.Name), Revision: uint64(v.Revision), Hash: v.Hash}
}

func fromValue(m *ValueMessage) (gypsumrail.ValueVersion, error) {
	v := gypsumrail.ValueVersion{Name: gypsumrail.ValueName(m.GetName()), Revision: gypsumrail.Revision(m.GetRevision()), Hash: m.GetHash()}
	if !wire.ValidName(string(v.Name)) {
		return gypsumrail.ValueVersion{}, fmt.Errorf("%w: value has a malformed name", ErrMalformed)
	}
	return v, nil
}

// toExchange builds the message for an exchange. It leaves out entries and
// values beyond the limits. A later exchange carries the missing entries,
// because the digests still differ.
func toExchange(e gypsumrail.Exchange) *ExchangeMessage {
	m := &ExchangeMessage{
		From: toInstance(e.From), Answer: e.Answer,
		Buckets: e.Digest.Buckets[:],
	}
	m.Evidence = e.Digest.Evidence
	addEvidence(m, e.Evidence)
	for _, v := range e.Digest.Values[:min(len(e.Digest.Values), valuesMax)] {
		m.Values = append(m.Values, toValue(v))
	}
	// Half of the size limit is left for the digests and the encoding. The tags,
	// lengths and numbers of an entry take at most 40 bytes.
	bytesLeft := ExchangeMax / 2
	for _, entry := range e.Entries[:min(len(e.Entries), entriesMax)] {
		bytesLeft -= len(entry.Name) + len(entry.Service) + len(entry.Zone) + len(entry.Address) + len(entry.State) + 40
		if bytesLeft < 0 {
			break
		}
		m.Entries = append(m.Entries, toInstance(entry))
	}
	return m
}

func fromExchange(m *ExchangeMessage) (gypsumrail.Exchange, error) {
	e := gypsumrail.Exchange{Answer: m.GetAnswer()}
	var err error
	if e.From, err = fromInstance(m.GetFrom()); err != nil {
		return gypsumrail.Exchange{}, err
	}
	if len(m.GetBuckets()) != gypsumrail.DigestBuckets || len(m.GetValues()) > valuesMax || len(m.GetEntries()) > entriesMax {
		return gypsumrail.Exchange{}, fmt.Errorf("%w: %d buckets, %d values, %d entries", ErrMalformed,
			len(m.GetBuckets()), len(m.GetValues()), len(m.GetEntries()))
	}
	copy(e.Digest.Buckets[:], m.GetBuckets())
	for _, vm := range m.GetValues() {
		v, err := fromValue(vm)
		if err != nil {
			return gypsumrail.Exchange{}, err
		}
		e.Digest.Values = append(e.Digest.Values, v)
	}
	for _, im := range m.GetEntries() {
		i, err := fromInstance(im)
		if err != nil {
			return gypsumrail.Exchange{}, err
		}
		e.Entries = append(e.Entries, i)
	}
	e.Digest.Evidence = m.GetEvidence()
	e.Evidence, err = fromEvidence(m)
	return e, err
}

func toReport(r *gypsumrail.Report) *ReportMessage {
	if r == nil {
		return nil
	}
	return &ReportMessage{
		Instance: r.Instance, Incarnation: uint64(r.Incarnation), Sequence: r.Sequence, Limit: clampCount(r.Limit),
		InFlight: clampCount(r.InFlight), Queued: clampCount(r.Queued), Threshold: clampCount(int(r.Threshold)), Epoch: r.Epoch, Leaving: r.Leaving,
	}
}

// clampCount clamps a number of a report to its range.
func clampCount(n int) uint32 { return uint32(min(max(n, 0), slotsMax)) }

func fromReport(m *ReportMessage) (*gypsumrail.Report, error) {
	if m == nil {
		return nil, nil
	}
	if !wire.ValidName(m.GetInstance()) || max(m.GetLimit(), m.GetInFlight(), m.GetQueued()) > slotsMax || m.GetThreshold() > uint32(gypsumrail.LevelMax) {
		return nil, fmt.Errorf("%w: report of instance %.64q has a malformed name or a number out of range", ErrMalformed, m.GetInstance())
	}
	return &gypsumrail.Report{
		Instance: m.GetInstance(), Incarnation: gypsumrail.Incarnation(m.GetIncarnation()), Sequence: m.GetSequence(),
		Limit: int(m.GetLimit()), InFlight: int(m.GetInFlight()), Queued: int(m.GetQueued()),
		Threshold: gypsumrail.Level(m.GetThreshold()), Epoch: m.GetEpoch(), Leaving: m.GetLeaving(),
	}, nil
}
