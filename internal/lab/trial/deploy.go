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

// Settings of a deployment.
type Settings struct {
	Zones       []string
	Slots       int           // of each target
	ServiceTime time.Duration // of each target
	AnswerBytes int64
	SchemaMax   map[string]int // by name of the instance
}

// Services are the services in the order in which each calls the next.
var Services = []string{"front", "middle", "deep"}

// Allowance and Deadline are the retry budget and the deadline of every class.
const (
	Allowance = 3
	Deadline  = 3 * time.Second
)

// Classes of the deployment, of the service front.
const (
	ClassRead   = "read"   // repeatable, importance 5
	ClassBrowse = "browse" // repeatable, importance 1
	ClassVital  = "vital"  // repeatable, importance 9
	ClassOrder  = "order"  // not repeatable, importance 9
)

// Deployment is nodes, targets, the platform and the network between them. Its
// methods are safe for concurrent use except Start, Replace and Close.
type Deployment struct {
	Instances []*Instance
	Platform  *stubs.Platform
	Observer  *Observer

	settings  Settings
	replacing sync.Mutex
	network   *network
}

// Start starts a deployment with one instance of each service in each zone.
func Start(settings Settings) (*Deployment, error) {
	d := &Deployment{settings: settings, network: newNetwork(), Observer: newObserver()}
	if err := d.open(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) open() error {
	var err error
	if d.Platform, err = stubs.NewPlatform(""); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	for n, service := range Services {
		for _, zone := range d.settings.Zones {
			i, err := d.prepare(service, zone, Services[n+1:min(n+2, len(Services))])
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

func (d *Deployment) prepare(service, zone string, calls []string) (*Instance, error) {
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	i := &Instance{Name: service + "-" + zone, Service: service, Zone: zone, Ports: ports}
	i.SchemaMax = d.settings.SchemaMax[i.Name]
	i.Target, err = stubs.NewTarget(stubs.TargetSettings{
		Name: i.Name, Slots: d.settings.Slots, ServiceTime: d.settings.ServiceTime, Egress: ports.Egress, Calls: calls,
		AnswerBytes: d.settings.AnswerBytes,
		Seen:        func(r *http.Request, ran bool) { d.Observer.seen(i, r, ran) },
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

// Replace ends a node, gracefully or not, and starts a new incarnation in its place.
func (d *Deployment) Replace(i *Instance, gracefully bool) error {
	d.replacing.Lock()
	defer d.replacing.Unlock()
	if gracefully {
		i.Drain()
	} else {
		i.Kill()
	}
	return d.startNode(i)
}

// Close ends everything.
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

// PublishRecords publishes the next revision of the records, in both schema
// versions, and returns its number.
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
	content, err := json.Marshal(map[string]any{"Revision": 1, "Records": records})
	if err != nil {
		return 0, fmt.Errorf("trial: records: %w", err)
	}
	return d.Platform.Publish(gypsumrail.ValueRecords, content), nil
}

// PublishList publishes the platform's list of instances, without the missing ones.
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

// Named returns the instance with a name.
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

// Separate separates a zone from another one, or from the platform if that is
// empty: what the nodes of the zone have open goes silent and they can open
// nothing new. The other direction stays.
func (d *Deployment) Separate(from, to string, on bool) { d.network.separate(from, to, on) }
