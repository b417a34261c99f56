package meter

import (
	"fmt"
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// other is the label value of names that are not in the records in force or are
// beyond the bounds below. A call without an account has the label value "none".
const other = "other"

// Maximum number of names used as label values. A fleet of the target size has 53
// services; each account costs one histogram. If there are more names, the first ones
// in sorted order are used.
const (
	servicesMax = 64
	classesMax  = 64
	accountsMax = 128
)

// labelValues holds the names that may be used as label values.
type labelValues struct {
	services map[string]bool
	classes  map[string]bool
	accounts map[string]bool
}

func newLabelValues(records *gypsumrail.Records) labelValues {
	if records == nil {
		records = &gypsumrail.Records{}
	}
	return labelValues{
		services: firstNames(records.Services, servicesMax),
		classes:  firstNames(records.Classes, classesMax),
		accounts: firstNames(records.Accounts, accountsMax),
	}
}

// firstNames returns up to limit names of a map, in sorted order.
func firstNames[T any](all map[string]T, limit int) map[string]bool {
	selected := make(map[string]bool, min(len(all), limit))
	ordered := slices.Sorted(maps.Keys(all))
	for _, name := range ordered[:min(len(ordered), limit)] {
		selected[name] = true
	}
	return selected
}

// orOther returns the name if it is known, else other.
func orOther[K ~string](known map[K]bool, name K) K {
	if known[name] {
		return name
	}
	return other
}

// call returns the labels of a call that ended.
func (v labelValues) call(end shell.End) callKey {
	return v.restrictCall(callKey{end.Origin, end.Service, end.Class, end.Outcome, end.Reason})
}

// restrictCall replaces the names in a key that are not allowed by "other".
func (v labelValues) restrictCall(key callKey) callKey {
	return callKey{
		orOther(origins, key.origin), orOther(v.services, key.service), orOther(v.classes, key.class),
		orOther(outcomes, key.outcome), orOther(reasons, key.reason),
	}
}

// account returns the label value of an account; for a call without one, "none".
func (v labelValues) account(name string) string {
	if name == "" {
		return "none"
	}
	return orOther(v.accounts, name)
}

// restrictAccount does the same as restrictCall for the key of an account's requests.
func (v labelValues) restrictAccount(key accountKey) accountKey {
	if key.account != "none" {
		key.account = v.account(key.account)
	}
	return accountKey{key.account, orOther(outcomes, key.outcome)}
}

// restrictLatency does the same as restrictCall for the key of a latency.
func (v labelValues) restrictLatency(key latencyKey) latencyKey {
	if key.account != "" {
		if key.account != "none" {
			key.account = v.account(key.account)
		}
		return key
	}
	return latencyKey{origin: orOther(origins, key.origin), class: orOther(v.classes, key.class)}
}

func (k latencyKey) other() latencyKey {
	if k.account != "" {
		return latencyKey{account: other}
	}
	return latencyKey{origin: k.origin, class: other}
}

func (k callKey) series() string {
	return fmt.Sprintf("gypsumrail_calls_total{origin=%q,service=%q,class=%q,outcome=%q,reason=%q}",
		k.origin, k.service, k.class, k.outcome, k.reason)
}

func (k accountKey) series() string {
	return fmt.Sprintf("gypsumrail_tenant_calls_total{tenant=%q,outcome=%q}", k.account, k.outcome)
}

func (k latencyKey) series() string {
	if k.account != "" {
		return fmt.Sprintf("gypsumrail_tenant_latency_seconds{tenant=%q}", k.account)
	}
	return fmt.Sprintf("gypsumrail_class_latency_seconds{origin=%q,class=%q}", k.origin, k.class)
}

func newSet[K ~string](values ...K) map[K]bool {
	set := make(map[K]bool, len(values))
	for _, v := range values {
		set[v] = true
	}
	return set
}

// The outcome and reason of an answer come from another node. A newer node may
// send values that this one does not know; they are counted under "other".
var (
	origins  = newSet(gypsumrail.FromCaller, gypsumrail.FromTarget, gypsumrail.FromPeer)
	outcomes = newSet(gypsumrail.NotRun, gypsumrail.Ran, gypsumrail.Unknown)
	reasons  = newSet(
		gypsumrail.ReasonNone, gypsumrail.ReasonOverload, gypsumrail.ReasonShed, gypsumrail.ReasonDeadline,
		gypsumrail.ReasonDraining, gypsumrail.ReasonNoUpstream, gypsumrail.ReasonNoAllowance,
		gypsumrail.ReasonUnknownName, gypsumrail.ReasonKeyRequired, gypsumrail.ReasonKeyExpired,
		gypsumrail.ReasonKeyRefused, gypsumrail.ReasonKeyInUse, gypsumrail.ReasonKeyDone,
		gypsumrail.ReasonHomeGone, gypsumrail.ReasonTargetFailed, gypsumrail.ReasonSilent,
		gypsumrail.ReasonBroken, gypsumrail.ReasonCrashed, gypsumrail.ReasonConnect,
		gypsumrail.ReasonQuarantined, gypsumrail.ReasonSuspected, gypsumrail.ReasonCallerGone,
		gypsumrail.ReasonSuperseded, gypsumrail.ReasonTooDeep,
		gypsumrail.ReasonTargetBusy, gypsumrail.ReasonMisdirected, gypsumrail.ReasonTimeout, gypsumrail.ReasonInvalidClass,
		gypsumrail.ReasonUnknownKey, gypsumrail.ReasonOverLimit, gypsumrail.ReasonNoGrant, gypsumrail.ReasonStaleRecords,
		gypsumrail.ReasonInvalidAccount, gypsumrail.ReasonUnknownParent,
		wire.ReasonMalformed, wire.ReasonHeadersTooLong, wire.ReasonBodyTooLong, wire.ReasonBusy,
	)
)
