package meter

import (
	"fmt"
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// other is the label value of names that are not in the records in force, and
// of those beyond the bounds. The empty name of a call without a tenant is kept.
const other = "other"

// Bounds of label values. The target size has 53 services; a tenant costs one
// histogram. Of longer lists the first names in order are kept.
const (
	servicesMax = 64
	classesMax  = 64
	tenantsMax  = 128
)

// names holds the label values in force.
type names struct {
	services map[string]bool
	classes  map[string]bool
	tenants  map[string]bool
}

func namesOf(records *gypsumrail.Records) names {
	if records == nil {
		records = &gypsumrail.Records{}
	}
	return names{
		services: first(records.Services, servicesMax),
		classes:  first(records.Classes, classesMax),
		tenants:  first(records.Tenants, tenantsMax),
	}
}

func first[T any](all map[string]T, limit int) map[string]bool {
	kept := make(map[string]bool, min(len(all), limit))
	ordered := slices.Sorted(maps.Keys(all))
	for _, name := range ordered[:min(len(ordered), limit)] {
		kept[name] = true
	}
	return kept
}

func orOther[K ~string](known map[K]bool, name K) K {
	if known[name] {
		return name
	}
	return other
}

// call returns the labels of a call.
func (n names) call(end shell.End) callKey {
	return n.again(callKey{end.Origin, end.Service, end.Class, end.Outcome, end.Reason})
}

// again returns the key as the names in force have it.
func (n names) again(key callKey) callKey {
	return callKey{
		orOther(origins, key.origin), orOther(n.services, key.service), orOther(n.classes, key.class),
		orOther(outcomes, key.outcome), orOther(reasons, key.reason),
	}
}

func (n names) tenant(name string) string {
	if name == "" {
		return "none"
	}
	return orOther(n.tenants, name)
}

func (n names) againTime(key timeKey) timeKey {
	if key.tenant != "" {
		if key.tenant != "none" {
			key.tenant = n.tenant(key.tenant)
		}
		return key
	}
	return timeKey{origin: orOther(origins, key.origin), class: orOther(n.classes, key.class)}
}

func (k timeKey) other() timeKey {
	if k.tenant != "" {
		return timeKey{tenant: other}
	}
	return timeKey{origin: k.origin, class: other}
}

func (k callKey) series() string {
	return fmt.Sprintf("gypsumrail_calls_total{origin=%q,service=%q,class=%q,outcome=%q,reason=%q}",
		k.origin, k.service, k.class, k.outcome, k.reason)
}

func (k timeKey) series() string {
	if k.tenant != "" {
		return fmt.Sprintf("gypsumrail_tenant_latency_seconds{tenant=%q}", k.tenant)
	}
	return fmt.Sprintf("gypsumrail_class_latency_seconds{origin=%q,class=%q}", k.origin, k.class)
}

func setOf[K ~string](values ...K) map[K]bool {
	set := make(map[K]bool, len(values))
	for _, v := range values {
		set[v] = true
	}
	return set
}

// Outcome and reason of an answer come from another node, which may be newer
// and have values that this one does not know.
var (
	origins  = setOf(gypsumrail.FromCaller, gypsumrail.FromTarget, gypsumrail.FromPeer)
	outcomes = setOf(gypsumrail.NotRun, gypsumrail.Ran, gypsumrail.Unknown)
	reasons  = setOf(
		gypsumrail.ReasonNone, gypsumrail.ReasonOverload, gypsumrail.ReasonShed, gypsumrail.ReasonDeadline,
		gypsumrail.ReasonDraining, gypsumrail.ReasonNoUpstream, gypsumrail.ReasonNoAllowance,
		gypsumrail.ReasonUnknownName, gypsumrail.ReasonKeyRequired, gypsumrail.ReasonKeyExpired,
		gypsumrail.ReasonKeyRefused, gypsumrail.ReasonKeyInUse, gypsumrail.ReasonKeyDone,
		gypsumrail.ReasonHomeGone, gypsumrail.ReasonTargetFailed, gypsumrail.ReasonSilent,
		gypsumrail.ReasonBroken, gypsumrail.ReasonConnect, gypsumrail.ReasonCallerGone,
		gypsumrail.ReasonSuperseded, gypsumrail.ReasonTooDeep,
		gypsumrail.ReasonTargetBusy, gypsumrail.ReasonMisdirected, gypsumrail.ReasonTimeout,
		wire.ReasonMalformed, wire.ReasonHeadersTooLong, wire.ReasonBodyTooLong, wire.ReasonBusy,
	)
)
