package trial

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Kind names a kind of fault.
type Kind string

// Kinds of faults. Those that last are undone after Fault.For.
const (
	Cut           Kind = "cut"            // the connections of a zone to a node break
	Hold          Kind = "hold"           // they go silent for good; new ones work
	HalfClose     Kind = "half-close"     // their direction from the node ends
	Delay         Kind = "delay"          // they get slow, for a while
	TargetCut     Kind = "target-cut"     // the connections of a node to its target break
	TargetHold    Kind = "target-hold"    // they go silent beyond any deadline; new ones work
	TargetCrash   Kind = "target-crash"   // the target is gone for a while
	TargetSlow    Kind = "target-slow"    // the target needs longer for a while
	TargetShort   Kind = "target-short"   // the target breaks off its answers for a while
	TargetRefuses Kind = "target-refuses" // the target turns requests away for a while
	PlatformDown  Kind = "platform-down"  // for a while
	PlatformStale Kind = "platform-stale" // for a while
	PlatformSlow  Kind = "platform-slow"  // for a while
	ZonePlatform  Kind = "zone-platform"  // a zone is separated from the platform for a while
	NodeKilled    Kind = "node-killed"    // and replaced by a new incarnation
	NodeDrained   Kind = "node-drained"   // and replaced by a new incarnation
	Partition     Kind = "partition"      // between two zones for a while
	OneWay        Kind = "one-way"        // one zone cannot connect to another for a while
	Publish       Kind = "publish"        // a new revision of the records
)

// Kinds are all kinds of faults.
var Kinds = []Kind{
	Cut, Hold, HalfClose, Delay, TargetCut, TargetHold, TargetCrash, TargetSlow, TargetShort, TargetRefuses,
	PlatformDown, PlatformStale, PlatformSlow, ZonePlatform, NodeKilled, NodeDrained, Partition, OneWay, Publish,
}

// Fault is one fault of a plan.
type Fault struct {
	Kind     Kind
	Instance int // index of the instance that it concerns
	Zone     int // index of the zone from which it acts
	For      time.Duration
}

// Plan draws faults from a seed.
type Plan struct {
	random    *rand.Rand
	kinds     []Kind
	instances int
	zones     int
}

// NewPlan returns the plan of a seed for a deployment; nil takes all kinds.
func NewPlan(seed uint64, d *Deployment, kinds []Kind) *Plan {
	if kinds == nil {
		kinds = Kinds
	}
	return &Plan{
		random: rand.New(rand.NewPCG(seed, 0x0f)), kinds: kinds, //nolint:gosec // reproducible faults
		instances: len(d.Instances), zones: len(d.settings.Zones),
	}
}

// Bounds of the time that a fault lasts.
const (
	forMin = 30 * time.Millisecond
	forMax = 300 * time.Millisecond
)

// Next returns the faults that begin together next. A third of the time these
// are two, and a sixth of the time twice the same.
func (p *Plan) Next() []Fault {
	first := p.draw()
	switch p.random.IntN(6) {
	case 0, 1:
		return []Fault{first, p.draw()}
	case 2:
		return []Fault{first, first}
	}
	return []Fault{first}
}

func (p *Plan) draw() Fault {
	return Fault{
		Kind: p.kinds[p.random.IntN(len(p.kinds))], Instance: p.random.IntN(p.instances), Zone: p.random.IntN(p.zones),
		For: forMin + time.Duration(p.random.Int64N(int64(forMax-forMin))),
	}
}

// Values of the faults that last.
const (
	heldTarget   = Deadline + time.Second
	delayOf      = 20 * time.Millisecond // of each piece of data
	slowTarget   = 150 * time.Millisecond
	slowPlatform = 300 * time.Millisecond
	shortAnswer  = 500 // bytes before the target breaks off
	staleBy      = 2   // revisions
)

// Inject causes a fault, waits until it is over and undoes it.
func (d *Deployment) Inject(f Fault) error {
	i, zones := d.Instances[f.Instance], d.settings.Zones
	zone, other := zones[f.Zone], zones[(f.Zone+1)%len(zones)]
	relay := d.network.to(zone, i.Ports.Peers)
	wait := func() { time.Sleep(f.For) }
	switch f.Kind {
	case Cut:
		relay.Cut()
	case Hold:
		relay.Hold()
	case HalfClose:
		relay.HalfClose()
	case Delay:
		relay.SetDelay(delayOf)
		wait()
		relay.SetDelay(0)
	case TargetCut:
		i.toTarget.Cut()
	case TargetHold:
		i.toTarget.Hold()
		// A run that may not be repeated keeps its slot until the target answers, or
		// for 10 minutes, and a drain waits half a minute for it. The break ends it
		// when its sender has long given up.
		time.AfterFunc(heldTarget, i.toTarget.Cut)
	case TargetCrash:
		i.Target.Crash()
		wait()
		return restart(i)
	case TargetSlow:
		i.Target.SetServiceTime(slowTarget)
		wait()
		i.Target.SetServiceTime(d.settings.ServiceTime)
	case TargetShort:
		i.Target.SetCut(shortAnswer)
		wait()
		i.Target.SetCut(-1)
	case TargetRefuses:
		i.Target.SetRefusing(true)
		wait()
		i.Target.SetRefusing(false)
	case PlatformDown:
		d.Platform.SetDown(true)
		wait()
		d.Platform.SetDown(false)
	case PlatformStale:
		d.Platform.SetStale(staleBy)
		wait()
		d.Platform.SetStale(0)
	case PlatformSlow:
		d.Platform.SetSlow(slowPlatform)
		wait()
		d.Platform.SetSlow(0)
	case ZonePlatform:
		d.network.separate(zone, "", true)
		wait()
		d.network.separate(zone, "", false)
	case NodeKilled:
		return d.Replace(i, false)
	case NodeDrained:
		return d.Replace(i, true)
	case Partition:
		d.network.separate(zone, other, true)
		d.network.separate(other, zone, true)
		wait()
		d.network.separate(zone, other, false)
		d.network.separate(other, zone, false)
	case OneWay:
		d.network.separate(zone, other, true)
		wait()
		d.network.separate(zone, other, false)
	case Publish:
		_, err := d.PublishRecords(Allowance)
		return err
	}
	return nil
}

var restarting sync.Mutex

// restart opens the port of a crashed target, which another fault may have
// opened already.
func restart(i *Instance) error {
	restarting.Lock()
	defer restarting.Unlock()
	if i.Target.Up() {
		return nil
	}
	if err := i.Target.Restart(); err != nil {
		return fmt.Errorf("trial: restart of %s: %w", i.Name, err)
	}
	return nil
}

// Faults injects the faults of a plan until stop is closed, and returns how many
// of each kind there were.
func (d *Deployment) Faults(p *Plan, stop <-chan struct{}) (map[Kind]int, error) {
	counts := make(map[Kind]int)
	for {
		var together sync.WaitGroup
		faults := p.Next()
		errs := make([]error, len(faults))
		for n, f := range faults {
			counts[f.Kind]++
			together.Go(func() { errs[n] = d.Inject(f) })
		}
		together.Wait()
		for _, err := range errs {
			if err != nil {
				return counts, err
			}
		}
		select {
		case <-stop:
			return counts, nil
		case <-time.After(time.Duration(p.random.Int64N(int64(forMax) / 8))):
		}
	}
}
