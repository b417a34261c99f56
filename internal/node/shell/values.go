package shell

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/feed"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

const (
	// seedsMax bounds the peers that a new node asks.
	seedsMax = 3
	// seedPause is the time between two questions to a peer that does not answer yet.
	seedPause = 250 * time.Millisecond
	seedTries = 20
)

func valueNames() [2]gypsumrail.ValueName {
	return [2]gypsumrail.ValueName{gypsumrail.ValueRecords, gypsumrail.ValueInstances}
}

// start asks the platform and some peers for what is in force.
func (s *Shell) start() {
	var work sync.WaitGroup
	for _, name := range valueNames() {
		known := func() bool { return s.store.Revision(name) != 0 }
		work.Go(func() { s.feed.First(s.base, name, known, s.taker(name)) })
	}
	seeds := append([]string(nil), s.settings.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, address := range seeds[:min(len(seeds), seedsMax)] {
		work.Go(func() { s.greet(address) })
	}
	work.Wait()
}

// greet makes the node known to a peer of which only the address is known. The
// answer tells instances and the versions in force, which the reducer then pulls.
func (s *Shell) greet(address string) {
	for range seedTries {
		s.mu.Lock()
		message := gypsumrail.Exchange{From: s.self}
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(s.base, exchangeTime)
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

// watch starts or stops following the platform.
func (s *Shell) watch(on bool) {
	if s.watching != nil {
		s.watching()
		s.watching = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	s.watching = cancel
	for _, name := range valueNames() {
		go s.feed.Watch(ctx, name, func() gypsumrail.Revision { return s.store.Revision(name) }, s.taker(name))
	}
}

// taker returns the receiver of what is read from the platform. It logs when
// the platform goes away and comes back, not each failed read.
func (s *Shell) taker(name gypsumrail.ValueName) feed.Take {
	var away atomic.Bool
	return func(value feed.Value, err error) {
		if err != nil {
			if !away.Swap(true) {
				s.lines.Put(NoticePlatformAway, string(name), gypsumrail.ReasonNone, err.Error())
			}
			return
		}
		if away.Swap(false) {
			s.lines.Put(NoticePlatformBack, string(name), gypsumrail.ReasonNone, "")
		}
		s.offer(value, gypsumrail.Instance{})
	}
}

// errName is the fault of a value that this node does not know.
var errName = errors.New("unknown value")

// offer parses a content and gives it to the reducer, which adopts it if it is
// newer. A faulty content is logged and dropped as a whole. From is empty for
// the platform.
func (s *Shell) offer(value feed.Value, from gypsumrail.Instance) {
	s.applied.Lock()
	defer s.applied.Unlock()
	event := gypsumrail.Event{Value: value.Version, Peer: from}
	notice := NoticeRecordsRejected
	var err error
	switch value.Version.Name {
	case gypsumrail.ValueRecords:
		event.Kind = gypsumrail.RecordsRead
		if event.Records, err = s.parts.Records(value.Content); err == nil {
			event.Records.Revision = value.Version.Revision
		}
	case gypsumrail.ValueInstances:
		event.Kind, notice = gypsumrail.InstancesRead, NoticeInstancesRejected
		event.Instances, err = wire.ParseInstances(value.Content)
	default:
		err = errName
	}
	if err == nil {
		err = s.store.Offer(value)
	}
	if err != nil {
		s.lines.Put(notice, string(value.Version.Name), gypsumrail.ReasonNone, err.Error())
		return
	}
	s.post(&event)
	if event.Records != nil && s.store.Revision(gypsumrail.ValueRecords) == value.Version.Revision {
		s.bound(event.Records)
	}
}

// bound sets the bounds of connections that the records state.
func (s *Shell) bound(records *gypsumrail.Records) {
	if own := records.Targets[s.settings.Self.Name]; own != nil {
		s.targets.SetConns(own.Conns)
	}
	most := 0
	for _, service := range records.Services {
		most = max(most, service.ConnsMax)
	}
	s.peers.SetConns(most)
}
