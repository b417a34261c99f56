package trial

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Kind names a kind of fault.
type Kind string

// Kinds of faults. Those marked "for a while" are undone after Fault.Length.
const (
	Cut               Kind = "cut"            // closes the connections from a zone to a node
	Hold              Kind = "hold"           // silences the connections from a zone to a node for good; new ones work
	HalfClose         Kind = "half-close"     // closes the direction from a node to a zone on these connections
	Delay             Kind = "delay"          // delays each chunk of data from a zone to a node, both ways, for a while
	TargetCut         Kind = "target-cut"     // closes the connections from a node to its target
	TargetHold        Kind = "target-hold"    // silences the connections from a node to its target until after any deadline; new ones work
	TargetCrash       Kind = "target-crash"   // closes the port and all connections of the target for a while
	TargetSlow        Kind = "target-slow"    // raises the service time of the target for a while
	TargetShortAnswer Kind = "target-short"   // the target cuts its answers off for a while
	TargetRefuses     Kind = "target-refuses" // the target answers 503 for a while
	PlatformDown      Kind = "platform-down"  // the platform aborts every call for a while
	PlatformStale     Kind = "platform-stale" // the platform serves old revisions for a while
	PlatformSlow      Kind = "platform-slow"  // the platform delays its answers for a while
	ZonePlatform      Kind = "zone-platform"  // cuts a zone off from the platform for a while
	NodeKilled        Kind = "node-killed"    // kills a node and starts a new incarnation
	NodeDrained       Kind = "node-drained"   // drains a node and starts a new incarnation
	Partition         Kind = "partition"      // cuts two zones off from each other for a while
	OneWay            Kind = "one-way"        // cuts one zone off from another, in this direction only, for a while
	Publish           Kind = "publish"        // publishes a new revision of the records
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{
	Cut, Hold, HalfClose, Delay, TargetCut, TargetHold, TargetCrash, TargetSlow, TargetShortAnswer, TargetRefuses,
	PlatformDown, PlatformStale, PlatformSlow, ZonePlatform, NodeKilled, NodeDrained, Partition, OneWay, Publish,
}

// Fault is one fault that Deployment.Inject causes.
type Fault struct {
	Kind     Kind
	Instance int           // index of the instance that it hits
	Zone     int           // index of the zone whose outgoing connections it hits
	Length   time.Duration // of the kinds that last for a while
}

// Plan generates a reproducible sequence of faults.
type Plan struct {
	random    *rand.Rand
	kinds     []Kind
	instances int
	zones     int
}

// NewPlan returns the plan of a seed for a deployment. Nil stands for all kinds.
func NewPlan(seed uint64, d *Deployment, kinds []Kind) *Plan {
	if kinds == nil {
		kinds = Kinds
	}
	return &Plan{
		random: rand.New(rand.NewPCG(seed, 0x0f)), kinds: kinds, //nolint:gosec // reproducible faults
		instances: len(d.Instances), zones: len(d.settings.Zones),
	}
}

// Bounds of Fault.Length.
const (
	faultLengthMin = 30 * time.Millisecond
	faultLengthMax = 300 * time.Millisecond
)

// Next returns the next faults, which begin together: two random ones with
// probability 1/3, the same one twice with probability 1/6, otherwise one.
func (p *Plan) Next() []Fault {
	first := p.randomFault()
	switch p.random.IntN(6) {
	case 0, 1:
		return []Fault{first, p.randomFault()}
	case 2:
		return []Fault{first, first}
	}
	return []Fault{first}
}

func (p *Plan) randomFault() Fault {
	return Fault{
		Kind: p.kinds[p.random.IntN(len(p.kinds))], Instance: p.random.IntN(p.instances), Zone: p.random.IntN(p.zones),
		Length: faultLengthMin + time.Duration(p.random.Int64N(int64(faultLengthMax-faultLengthMin))),
	}
}

// Parameters of the faults.
const (
	targetHoldTime  = Deadline + time.Second
	relayDelay      = 20 * time.Millisecond // of each chunk of data
	slowServiceTime = 150 * time.Millisecond
	platformDelay   = 300 * time.Millisecond
	cutAnswerBytes  = 500 // sent before the target cuts the answer off
	staleRevisions  = 2
)

// Inject causes a fault. It returns when the fault is undone, or at once for the
// kinds that do not last. NodeKilled and NodeDrained return when the new
// incarnation has started.
func (d *Deployment) Inject(f Fault) error {
	i, zones := d.Instances[f.Instance], d.settings.Zones
	zone, other := zones[f.Zone], zones[(f.Zone+1)%len(zones)]
	relay := d.network.relayTo(zone, i.Ports.Peers)
	wait := func() { time.Sleep(f.Length) }
	switch f.Kind {
	case Cut:
		relay.Cut()
	case Hold:
		relay.Silence()
	case HalfClose:
		relay.HalfClose()
	case Delay:
		relay.SetDelay(relayDelay)
		wait()
		relay.SetDelay(0)
	case TargetCut:
		i.toTarget.Cut()
	case TargetHold:
		i.toTarget.Silence()
		// A call that may not be repeated holds its slot until the target answers or
		// 10 minutes have passed, and a drain waits half a minute for it. Closing the
		// connection ends it, after its sender's deadline.
		time.AfterFunc(targetHoldTime, i.toTarget.Cut)
	case TargetCrash:
		i.Target.Crash()
		wait()
		return restart(i)
	case TargetSlow:
		i.Target.SetServiceTime(slowServiceTime)
		wait()
		i.Target.SetServiceTime(d.settings.ServiceTime)
	case TargetShortAnswer:
		i.Target.SetCut(cutAnswerBytes)
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
		d.Platform.SetStale(staleRevisions)
		wait()
		d.Platform.SetStale(0)
	case PlatformSlow:
		d.Platform.SetDelay(platformDelay)
		wait()
		d.Platform.SetDelay(0)
	case ZonePlatform:
		d.network.setPartitioned(zone, "", true)
		wait()
		d.network.setPartitioned(zone, "", false)
	case NodeKilled:
		return d.Replace(i, false)
	case NodeDrained:
		return d.Replace(i, true)
	case Partition:
		d.network.setPartitioned(zone, other, true)
		d.network.setPartitioned(other, zone, true)
		wait()
		d.network.setPartitioned(zone, other, false)
		d.network.setPartitioned(other, zone, false)
	case OneWay:
		d.network.setPartitioned(zone, other, true)
		wait()
		d.network.setPartitioned(zone, other, false)
	case Publish:
		_, err := d.PublishRecords(Allowance)
		return err
	}
	return nil
}

var restartMu sync.Mutex

// restart reopens the port of a crashed target, unless a concurrent fault has
// already done so.
func restart(i *Instance) error {
	restartMu.Lock()
	defer restartMu.Unlock()
	if i.Target.Up() {
		return nil
	}
	if err := i.Target.Restart(); err != nil {
		return fmt.Errorf("trial: restart of %s: %w", i.Name, err)
	}
	return nil
}

// InjectPlan injects the faults of a plan until stop is closed or one fails. It
// returns how many of each kind it injected.
func (d *Deployment) InjectPlan(p *Plan, stop <-chan struct{}) (map[Kind]int, error) {
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
		case <-time.After(time.Duration(p.random.Int64N(int64(faultLengthMax) / 8))):
		}
	}
}
