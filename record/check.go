package record

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

// checkAll checks the records against each other. Fields that could not be read are
// skipped, because their fault is already reported.
func (p *parser) checkAll() {
	for _, service := range p.records.Services {
		p.checkReferences(kindService, service.Name, "Dependencies", service.Dependencies)
	}
	byService := map[string][]*gypsumrail.Target{}
	targetsFaulty := false
	for _, target := range p.records.Targets {
		targetsFaulty = targetsFaulty || p.faulty[key{kindTarget, target.Name}]
		if target.Service != "" {
			p.checkReferences(kindTarget, target.Name, "Service", []string{target.Service})
			byService[target.Service] = append(byService[target.Service], target)
		}
	}
	for _, class := range p.records.Classes {
		p.checkClass(class)
		// A field of a target that could not be read could be what the class needs.
		if !targetsFaulty {
			p.checkServed(class, byService)
		}
	}
	p.checkCycles()
}

// checkReferences reports the listed names that are not services of the set.
func (p *parser) checkReferences(kind, record, field string, services []string) {
	for _, service := range services {
		if _, exists := p.chosen[key{kindService, service}]; !exists {
			p.fault(p.chosen[key{kind, record}], field, problemf(ReasonUnknownReference, "there is no service %q", service))
		}
	}
}

// checkClass checks that the services of a class exist, that Uses has its entry
// service, and that Capabilities names only services in Uses.
func (p *parser) checkClass(class *gypsumrail.Class) {
	h := p.chosen[key{kindClass, class.Name}]
	if class.Service != "" {
		p.checkReferences(kindClass, class.Name, "Service", []string{class.Service})
	}
	p.checkReferences(kindClass, class.Name, "Uses", class.Uses)
	if len(class.Uses) == 0 {
		return
	}
	if class.Service != "" && !slices.Contains(class.Uses, class.Service) {
		p.fault(h, "Uses", problemf(ReasonContradiction, "the entry service %q is not among them", class.Service))
	}
	for _, service := range slices.Sorted(maps.Keys(class.Capabilities)) {
		if !slices.Contains(class.Uses, service) {
			p.fault(h, "Capabilities", problemf(ReasonContradiction, "service %.40q is not in Uses", service))
		}
	}
}

// checkServed reports each service that a class uses and that has no target with
// all capabilities that the class needs there.
func (p *parser) checkServed(class *gypsumrail.Class, byService map[string][]*gypsumrail.Target) {
	for _, service := range class.Uses {
		if _, exists := p.chosen[key{kindService, service}]; !exists {
			continue
		}
		needs := class.Capabilities[service]
		if slices.ContainsFunc(byService[service], func(t *gypsumrail.Target) bool { return len(MissingCapabilities(t, needs)) == 0 }) {
			continue
		}
		h := p.chosen[key{kindClass, class.Name}]
		if len(needs) == 0 {
			p.fault(h, "Uses", problemf(ReasonContradiction, "service %q has no target", service))
			continue
		}
		p.fault(h, "Capabilities", problemf(ReasonContradiction, "no target of service %q can serve %s", service, strings.Join(needs, ", ")))
	}
}

// MissingCapabilities returns the capabilities among needs that a target does not
// have.
func MissingCapabilities(target *gypsumrail.Target, needs []string) []string {
	var missing []string
	for _, need := range needs {
		if !slices.Contains(target.Capabilities, need) {
			missing = append(missing, need)
		}
	}
	return missing
}

// checkCycles reports each dependency that closes a cycle. In a cycle, one user
// request could cause an endless chain of calls.
func (p *parser) checkCycles() {
	position := map[string]int{} // in path, from 1; 0 before the visit, -1 after it
	var path []string
	var visit func(name string)
	visit = func(name string) {
		path = append(path, name)
		position[name] = len(path)
		if service := p.records.Services[name]; service != nil {
			for _, next := range service.Dependencies {
				switch at := position[next]; {
				case at == 0:
					visit(next)
				case at > 0:
					cycle := path[at-1:]
					shown := strings.Join(cycle[:min(len(cycle), cycleShown)], " -> ")
					if len(cycle) > cycleShown {
						shown += " -> ..."
					}
					p.fault(p.chosen[key{kindService, name}], "Dependencies",
						problemf(ReasonContradiction, "dependency cycle: %s -> %s", shown, next))
				}
			}
		}
		path = path[:len(path)-1]
		position[name] = -1
	}
	for _, name := range slices.Sorted(maps.Keys(p.records.Services)) {
		if position[name] == 0 {
			visit(name)
		}
	}
}

// cycleShown is the highest number of services of a cycle that a fault names.
// Without it, the error of a set full of cycles could be far larger than the set.
const cycleShown = 20

// sortFaults orders faults by record and field, so that equal sets give equal errors.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Detail, b.Detail))
	})
}
