package shell

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/fetch"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// seedsMax bounds the seeds that a new node contacts, chosen at random.
	seedsMax = 3
	// seedPause is the time between two of the seedTries exchanges with a seed that
	// does not answer.
	seedPause = 250 * time.Millisecond
	seedTries = 20
)

func valueNames() [2]gypsumrail.ValueName {
	return [2]gypsumrail.ValueName{gypsumrail.ValueRecords, gypsumrail.ValueInstances}
}

// fetchInitialValues reads the values in force from the platform and contacts up
// to seedsMax seeds, all at once. It returns when all have ended.
func (s *Shell) fetchInitialValues() {
	var work sync.WaitGroup
	for _, name := range valueNames() {
		known := func() bool { return s.store.Revision(name) != 0 }
		work.Go(func() { s.platformClient.ReadFirst(s.base, name, known, s.platformReceiver(name)) })
	}
	seeds := append([]string(nil), s.settings.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, address := range seeds[:min(len(seeds), seedsMax)] {
		work.Go(func() { s.contactSeed(address) })
	}
	work.Wait()
}

// contactSeed sends an exchange to a peer of which only the address is known. It
// announces this node. The answer lists instances and the versions in force,
// which the reducer then pulls.
func (s *Shell) contactSeed(address string) {
	for range seedTries {
		s.mu.Lock()
		message := gypsumrail.Exchange{From: s.self}
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(s.base, exchangeTimeout)
		answer, err := s.control.Exchange(ctx, address, message)
		cancel()
		if s.base.Err() != nil {
			return
		}
		if err == nil {
			s.post(&gypsumrail.Event{Kind: gypsumrail.Exchanged, Peer: answer.From, Exchange: &answer})
			return
		}
		select {
		case <-time.After(seedPause):
		case <-s.base.Done():
			return
		}
	}
}

// watch performs the Watch effect: it starts or stops the watch of each value on
// the platform. The caller holds s.mu.
func (s *Shell) watch(on bool) {
	if s.stopWatch != nil {
		s.stopWatch()
		s.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	s.stopWatch = cancel
	for _, name := range valueNames() {
		go s.platformClient.Watch(ctx, name, func() gypsumrail.Revision { return s.store.Revision(name) }, s.platformReceiver(name))
	}
}

// platformReceiver returns the callback for reads of a value from the platform.
// It offers what was read. It logs only the first of several failed reads, and
// the first read that succeeds again.
func (s *Shell) platformReceiver(name gypsumrail.ValueName) fetch.Receiver {
	var unreachable atomic.Bool
	return func(value fetch.Value, err error) {
		if err != nil {
			if !unreachable.Swap(true) {
				s.log.Put(NoticePlatformAway, string(name), gypsumrail.ReasonNone, err.Error())
			}
			return
		}
		if unreachable.Swap(false) {
			s.log.Put(NoticePlatformBack, string(name), gypsumrail.ReasonNone, "")
		}
		s.offer(value, gypsumrail.Instance{})
	}
}

// errUnknownValue is the error of offer for a value that is neither the records nor
// the instance list.
var errUnknownValue = errors.New("unknown name of a value")

// offer parses the content of a value and gives it to the reducer, which adopts
// it if it is newer. Invalid content is logged and dropped as a whole. The
// instance from is the peer that sent it, or empty for the platform.
func (s *Shell) offer(value fetch.Value, from gypsumrail.Instance) {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	event := gypsumrail.Event{Value: value.Version, Peer: from}
	notice := NoticeRecordsRejected
	var err error
	switch value.Version.Name {
	case gypsumrail.ValueRecords:
		event.Kind = gypsumrail.RecordsRead
		if event.Records, err = s.parts.ParseRecords(value.Content); err == nil {
			event.Records.Revision = value.Version.Revision
		}
	case gypsumrail.ValueInstances:
		event.Kind, notice = gypsumrail.InstancesRead, NoticeInstancesRejected
		event.Instances, err = wire.ParseInstances(value.Content)
	default:
		err = errUnknownValue
	}
	if err == nil {
		err = s.store.Offer(value)
	}
	if err != nil {
		s.log.Put(notice, string(value.Version.Name), gypsumrail.ReasonNone, err.Error())
		return
	}
	s.post(&event)
	if event.Records != nil && s.store.Revision(gypsumrail.ValueRecords) == value.Version.Revision {
		s.setConnLimits(event.Records)
	}
}

// setConnLimits applies the connection limits of the records: this node's own one
// to its target, and the highest one of all services to each peer.
func (s *Shell) setConnLimits(records *gypsumrail.Records) {
	if own := records.Targets[s.settings.Self.Name]; own != nil {
		s.targetPool.SetConns(own.Conns)
	}
	most := 0
	for _, service := range records.Services {
		most = max(most, service.ConnsMax)
	}
	s.peerPool.SetConns(most)
}
