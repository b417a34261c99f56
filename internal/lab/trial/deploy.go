package trial

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// Settings describe a deployment. Zones must not be empty.
type Settings struct {
	Zones       []string
	Slots       int            // concurrent requests of each target
	ServiceTime time.Duration  // of each target
	AnswerBytes int64          // size of the body that each target answers with
	SchemaMax   map[string]int // by name of the instance; see Instance.SchemaMax
}

// Services is the chain of services: each calls the next. Clients call the first.
var Services = []string{"front", "middle", "deep"}

// Allowance is the allowance of every class: the retries that all nodes together
// may spend on one user request. Deadline is the deadline of every class.
const (
	Allowance = 3
	Deadline  = 3 * time.Second
)

// Classes of the deployment, all of the service front.
const (
	ClassRead   = "read"   // repeatable, importance 5
	ClassBrowse = "browse" // repeatable, importance 1
	ClassVital  = "vital"  // repeatable, importance 9
	ClassOrder  = "order"  // not repeatable, importance 9
)

// Deployment holds nodes, targets, the platform and the network between them. Its
// methods are safe for concurrent use except Close.
type Deployment struct {
	Instances []*Instance
	Platform  *stubs.Platform
	Observer  *Observer

	settings  Settings
	replaceMu sync.Mutex
	network   *network
}

// Start starts a deployment with one instance of each service in each zone.
func Start(settings Settings) (*Deployment, error) {
	d := &Deployment{settings: settings, network: newNetwork(), Observer: newObserver()}
	if err := d.setUp(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) setUp() error {
	var err error
	if d.Platform, err = stubs.NewPlatform(""); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	for n, service := range Services {
		for _, zone := range d.settings.Zones {
			i, err := d.newInstance(service, zone, Services[n+1:min(n+2, len(Services))])
			if err != nil {
				return err
			}
			d.Instances = append(d.Instances, i)
		}
	}
	for _, zone := range d.settings.Zones {
		if err := d.network.add(zone, d.Platform.Address(), ""); err != nil {
			return err
		}
		for _, i := range d.Instances {
			if err := d.network.add(zone, i.Ports.Peers, i.Zone); err != nil {
				return err
			}
		}
	}
	if _, err := d.PublishRecords(Allowance); err != nil {
		return err
	}
	if err := d.PublishList(nil); err != nil {
		return err
	}
	for _, i := range d.Instances {
		if err := d.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) newInstance(service, zone string, calls []string) (*Instance, error) {
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	i := &Instance{Name: service + "-" + zone, Service: service, Zone: zone, Ports: ports}
	i.SchemaMax = d.settings.SchemaMax[i.Name]
	i.Target, err = stubs.NewTarget(stubs.TargetSettings{
		Name: i.Name, Slots: d.settings.Slots, ServiceTime: d.settings.ServiceTime, Egress: ports.Egress, Calls: calls,
		AnswerBytes: d.settings.AnswerBytes,
		OnRequest:   func(r *http.Request, ran bool) { d.Observer.recordArrival(i, r, ran) },
	})
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	if i.toTarget, err = stubs.NewRelay(i.Target.Address()); err != nil {
		i.Target.Close()
		return nil, fmt.Errorf("trial: %w", err)
	}
	return i, nil
}

func (d *Deployment) startNode(i *Instance) error {
	var seeds []string
	for _, other := range d.Instances {
		if other != i && len(seeds) < 3 {
			seeds = append(seeds, other.Ports.Peers)
		}
	}
	return i.start(d.Platform.Address(), seeds, d.network.dial(i.Zone))
}

// Replace drains or kills a node, waits until it has ended and starts a new
// incarnation on the same ports.
func (d *Deployment) Replace(i *Instance, gracefully bool) error {
	d.replaceMu.Lock()
	defer d.replaceMu.Unlock()
	if gracefully {
		i.Drain()
	} else {
		i.Kill()
	}
	return d.startNode(i)
}

// Close kills all nodes and closes targets, relays and the platform.
func (d *Deployment) Close() {
	for _, i := range d.Instances {
		i.Kill()
		i.toTarget.Close()
		i.Target.Close()
	}
	d.network.close()
	if d.Platform != nil {
		d.Platform.Close()
	}
}

// PublishRecords publishes a new revision of the records and returns its number.
// Services and classes appear in both schema versions, targets only in version 1.
// Only version 2 of a class carries the allowance.
func (d *Deployment) PublishRecords(allowance int) (gypsumrail.Revision, error) {
	var records []map[string]any
	add := func(schema int, fields map[string]any) {
		fields["SchemaVersion"] = schema
		records = append(records, fields)
	}
	for schema := 1; schema <= 2; schema++ {
		for n, service := range Services {
			fields := map[string]any{
				"Kind": "Service", "Name": service, "Dependencies": Services[n+1 : min(n+2, len(Services))],
				"SlotsMax": 1000, "ConnsMax": 1000,
			}
			if schema == 2 {
				fields["ColdStartMillis"] = 0
			}
			add(schema, fields)
		}
		for _, class := range []struct {
			name       string
			importance int
			repeatable bool
		}{{ClassRead, 5, true}, {ClassBrowse, 1, true}, {ClassVital, 9, true}, {ClassOrder, 9, false}} {
			fields := map[string]any{
				"Kind": "Class", "Name": class.name, "Importance": class.importance, "DeadlineMillis": Deadline.Milliseconds(),
				"Repeatable": class.repeatable, "Service": Services[0], "Uses": Services,
			}
			if schema == 2 {
				fields["Allowance"] = allowance
			}
			add(schema, fields)
		}
	}
	for _, i := range d.Instances {
		add(1, map[string]any{
			"Kind": "Target", "Name": i.Name, "Service": i.Service, "Zone": i.Zone, "Slots": d.settings.Slots, "Conns": 256,
		})
	}
	// Nodes use the revision that the platform assigns, not the one in the content.
	content, err := json.Marshal(map[string]any{"Revision": 1, "Records": records})
	if err != nil {
		return 0, fmt.Errorf("trial: records: %w", err)
	}
	return d.Platform.Publish(gypsumrail.ValueRecords, content), nil
}

// PublishList publishes the instance list without the instances whose names are
// in missing.
func (d *Deployment) PublishList(missing map[string]bool) error {
	var list []gypsumrail.Instance
	for _, i := range d.Instances {
		if !missing[i.Name] {
			list = append(list, gypsumrail.Instance{Name: i.Name, Service: i.Service, Zone: i.Zone, Address: i.Ports.Peers, State: gypsumrail.Live})
		}
	}
	content, err := wire.FormatInstances(list)
	if err != nil {
		return fmt.Errorf("trial: list: %w", err)
	}
	d.Platform.Publish(gypsumrail.ValueInstances, content)
	return nil
}

// Named returns the instance with a name, or nil.
func (d *Deployment) Named(name string) *Instance {
	for _, i := range d.Instances {
		if i.Name == name {
			return i
		}
	}
	return nil
}

// InZone returns the instances of a zone.
func (d *Deployment) InZone(zone string) []*Instance {
	var out []*Instance
	for _, i := range d.Instances {
		if i.Zone == zone {
			out = append(out, i)
		}
	}
	return out
}

// SetPartitioned cuts a zone off from another one, or from the platform if to is
// empty. Open connections that the nodes of the zone dialed go silent, and new ones
// fail. Connections that the other side dialed still work. If on is false, it
// closes the open connections and lets new ones through.
func (d *Deployment) SetPartitioned(from, to string, on bool) { d.network.setPartitioned(from, to, on) }
