package slope

import (
	"fmt"
	"strings"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/record"
)

// Shape of the fleet at the target size. Smaller fleets have the same ratio of
// instances to services.
const (
	targetInstances = 640
	targetServices  = 53
	zones           = 6
	// Unix milliseconds in the upper bits, as in a running node
	firstIncarnation = gypsumrail.Incarnation(1_790_000_000_000) << 20
)

// servicesFor returns the number of services of a fleet with the given number of
// instances.
func servicesFor(instances int) int {
	return max(1, instances*targetServices/targetInstances)
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// instances returns the directory entries of a fleet of n instances.
func instances(n int) []gypsumrail.Instance {
	services := servicesFor(n)
	list := make([]gypsumrail.Instance, n)
	for i := range list {
		list[i] = gypsumrail.Instance{
			Name:        fmt.Sprintf("%s-%03d", serviceName(i%services), i),
			Service:     serviceName(i % services),
			Zone:        fmt.Sprintf("zone-%d", i%zones),
			Address:     fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
			Incarnation: firstIncarnation + gypsumrail.Incarnation(i),
			Version:     1,
			State:       gypsumrail.Live,
		}
	}
	return list
}

// recordsJSON returns the records of a fleet of n instances as the platform
// publishes them. The services form chains of up to 11 dependent services, and
// each has one class.
func recordsJSON(n int) []byte {
	services := servicesFor(n)
	var lines []string
	for i := range services {
		dependencies := ""
		if next := i + 1; next < services && next%11 != 0 {
			dependencies = fmt.Sprintf("%q", serviceName(next))
		}
		lines = append(lines,
			fmt.Sprintf(`{"SchemaVersion":2,"Kind":"Service","Name":%q,"Dependencies":[%s],"SlotsMax":200,"ConnsMax":1400,"ColdStartMillis":10000,"ZoneDelayMillis":1}`, serviceName(i), dependencies),
			fmt.Sprintf(`{"SchemaVersion":2,"Kind":"Class","Name":"class-%02d","Importance":%d,"DeadlineMillis":3000,"Repeatable":true,"Service":%q,"Uses":[%q],"AnswerBytes":2000,"Allowance":3}`, i, i%10, serviceName(i), serviceName(i)))
	}
	for _, instance := range instances(n) {
		lines = append(lines, fmt.Sprintf(`{"SchemaVersion":1,"Kind":"Target","Name":%q,"Service":%q,"Zone":%q,"Capabilities":["standard"],"Slots":100,"Conns":1000}`,
			instance.Name, instance.Service, instance.Zone))
	}
	return []byte(`{"Revision":1,"Records":[` + strings.Join(lines, ",\n") + "]}")
}

// records returns the parsed records of a fleet of n instances.
func records(n int) *gypsumrail.Records {
	parsed, err := record.Parse("fleet", recordsJSON(n), record.Options{})
	if err != nil {
		panic(fmt.Sprintf("records of a generated fleet are not valid: %v", err))
	}
	return parsed
}

// firstNode returns the node of the first instance of a fleet of n instances.
func firstNode(n int) *core.Node {
	list := instances(n)
	return newNode(list, 0, records(n))
}

// newNode returns the node of list[index] after it has read the records and the
// instance list.
func newNode(list []gypsumrail.Instance, index int, parsed *gypsumrail.Records) *core.Node {
	n := setup.NewNode(list[index], core.Settings{}, setup.Settings{})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Records: parsed, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1, Hash: 1}})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: list, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1, Hash: 1}})
	// The upstream lists are complete after two ticks.
	n.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: 200})
	n.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: 400})
	return n
}
