package slope

import (
	"fmt"
	"strings"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/node/setup"
	"github.com/gypsumrail/gypsumrail/record"
)

// The shape of the fleet at the target size: 640 instances in 53 services and 6
// zones. Smaller fleets keep the ratio of instances to services.
const (
	targetInstances = 640
	targetServices  = 53
	zones           = 6
	firstStart      = gypsumrail.Incarnation(1_790_000_000_000) << 20
)

// servicesFor returns the number of services of a fleet.
func servicesFor(instances int) int {
	return max(1, instances*targetServices/targetInstances)
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// instances returns the directory entries of a fleet.
func instances(n int) []gypsumrail.Instance {
	services := servicesFor(n)
	list := make([]gypsumrail.Instance, n)
	for i := range list {
		list[i] = gypsumrail.Instance{
			Name:        fmt.Sprintf("%s-%03d", serviceName(i%services), i),
			Service:     serviceName(i % services),
			Zone:        fmt.Sprintf("zone-%d", i%zones),
			Address:     fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
			Incarnation: firstStart + gypsumrail.Incarnation(i),
			Version:     1,
			State:       gypsumrail.Live,
		}
	}
	return list
}

// recordText returns the records of a fleet as they are published: a chain of
// dependencies up to 11 deep and one class for each service.
func recordText(n int) []byte {
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

// records returns the parsed records of a fleet.
func records(n int) *gypsumrail.Records {
	parsed, err := record.Parse("fleet", recordText(n), record.Options{})
	if err != nil {
		panic(fmt.Sprintf("records of a generated fleet are not valid: %v", err))
	}
	return parsed
}

// node returns the node of the first instance, which knows the whole fleet.
func node(n int) *core.Node {
	list := instances(n)
	return nodeOf(list, 0, records(n))
}

func nodeOf(list []gypsumrail.Instance, index int, known *gypsumrail.Records) *core.Node {
	built := setup.NewNode(list[index], core.Settings{}, setup.Settings{})
	built.Step(&gypsumrail.Event{Kind: gypsumrail.RecordsRead, Records: known, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 1, Hash: 1}})
	built.Step(&gypsumrail.Event{Kind: gypsumrail.InstancesRead, Instances: list, Value: gypsumrail.ValueVersion{Name: gypsumrail.ValueInstances, Revision: 1, Hash: 1}})
	// Two ticks settle the upstream lists.
	built.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: 200})
	built.Step(&gypsumrail.Event{Kind: gypsumrail.Tick, At: 400})
	return built
}
