package route_test

import (
	"fmt"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/route"
)

func Example() {
	r := route.New(gypsumrail.Instance{Name: "cutlist-1", Zone: "a"}, route.Settings{})
	r.SetUpstreams(0, "quoting", []gypsumrail.Upstream{
		{Instance: gypsumrail.Instance{Name: "quoting-1", Zone: "a", State: gypsumrail.Live}, Slots: 40},
		{Instance: gypsumrail.Instance{Name: "quoting-2", Zone: "b", State: gypsumrail.Live}, Slots: 40},
	})
	choice := gypsumrail.Choice{Service: "quoting", Level: 300, Random: 7}
	to, _ := r.Choose(0, choice)
	fmt.Println(to.Name)
	// The upstream of the own zone answers, and its report refuses the level from now on.
	r.Sent(0, to.Name)
	r.Answered(20, to.Name, 20, &gypsumrail.Report{Instance: to.Name, Sequence: 1, Limit: 40, Threshold: 384})
	to, _ = r.Choose(30, choice)
	fmt.Println(to.Name)
	choice.Exclude = []string{"quoting-2"}
	_, reason := r.Choose(30, choice)
	fmt.Println(reason)
	// Output:
	// quoting-1
	// quoting-2
	// Shed
}

func ExampleRouter_Explain() {
	r := route.New(gypsumrail.Instance{Zone: "a"}, route.Settings{})
	r.SetUpstreams(0, "quoting", []gypsumrail.Upstream{
		{Instance: gypsumrail.Instance{Name: "quoting-1", State: gypsumrail.Leaving}, Slots: 40},
		{Instance: gypsumrail.Instance{Name: "quoting-2", State: gypsumrail.Live}, Slots: 40},
	})
	for _, e := range r.Explain(0, gypsumrail.Choice{Service: "quoting"}) {
		fmt.Println(e.Instance, e.Usable, e.Why)
	}
	// Output:
	// quoting-1 false the instance is leaving
	// quoting-2 true usable
}
