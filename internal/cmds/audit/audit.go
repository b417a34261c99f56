// Package audit checks a configuration of the operator before it is published: it finds what
// is wrong or has no effect, and what differs from another version.
package audit

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/platform"
)

// Config is a decoded configuration.
type Config struct {
	Records  *gypsumrail.Records
	Accounts []platform.AuditAccount
}

// Read decodes a configuration. The error says why nodes would reject it as a whole.
func Read(data []byte) (*Config, error) {
	records, err := (&platform.Catalog{}).Records(data)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error says what is malformed
	}
	accounts, err := platform.AuditAccounts(data)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error says what is malformed
	}
	return &Config{records, accounts}, nil
}

// Findings returns what is wrong with the configuration, in a fixed order.
func (c *Config) Findings() []string {
	findings := slices.Clone(c.Records.Faults)
	findings = append(findings, c.checkRoutes()...)
	findings = append(findings, c.checkAccounts()...)
	return append(findings, c.checkLimits()...)
}

func (c *Config) checkRoutes() (findings []string) {
	add := func(class *gypsumrail.Class, format string, args ...any) {
		findings = append(findings, fmt.Sprintf("route %q: ", class.Name)+fmt.Sprintf(format, args...))
	}
	// Paths are compared segment by segment, so a longer prefix never hides a shorter one
	// for the path that equals the shorter one.
	first := make(map[gypsumrail.Route]string)
	for _, name := range slices.Sorted(maps.Keys(c.Records.Classes)) {
		class := c.Records.Classes[name]
		if other, taken := first[class.Route]; taken {
			add(class, "has the host and prefix of route %q, so one of the two gets no request", other)
		} else {
			first[class.Route] = name
		}
		if strings.ContainsAny(class.Route.Prefix, "?#") {
			add(class, "never matches: its prefix has a character that ends a path")
		}
		if class.Timeout > 0 && class.Timeout < class.Objective {
			add(class, "its timeout of %d ms is below its latency objective of %d ms", class.Timeout, class.Objective)
		}
		for _, part := range class.Split {
			if part.Weight == 0 {
				add(class, "service %q has the weight 0 and gets no request", part.Service)
			}
		}
	}
	return findings
}

func (c *Config) checkAccounts() (findings []string) {
	holders := make(map[gypsumrail.KeyDigest]string)
	names := make(map[string]bool)
	for _, account := range c.Accounts {
		add := func(format string, args ...any) {
			findings = append(findings, fmt.Sprintf("account %q: ", account.Name)+fmt.Sprintf(format, args...))
		}
		if names[account.Name] {
			add("is listed twice")
		}
		names[account.Name] = true
		if len(account.Keys) == 0 {
			add("has no key, so it can send nothing")
		}
		for _, key := range account.Keys {
			if key == sha256.Sum256(nil) {
				add("has an empty key")
				continue
			}
			if holder, taken := holders[key]; taken {
				add("holds key %s, which account %q holds too", digits(key), holder)
				continue
			}
			holders[key] = account.Name
		}
		if account.Rate < 0 {
			add("its rate of %g is negative", account.Rate)
		}
		if account.Burst < 0 {
			add("its burst of %g is negative", account.Burst)
		}
		if account.Rate == 0 && account.Burst > 0 {
			add("its burst of %g has no effect without a rate", account.Burst)
		}
	}
	return findings
}

// checkLimits checks limits that are stated; a zero one stands for the default of the node.
func (c *Config) checkLimits() (findings []string) {
	l := c.Records.Limits
	if min(l.HeaderBytes, l.BodyBytes) < 0 || min(l.HeaderTime, l.IdleTime) < 0 {
		findings = append(findings, "limits: one is negative")
	}
	if l.BodyBytes > 0 && l.HeaderBytes > l.BodyBytes {
		findings = append(findings, fmt.Sprintf("limits: the header limit of %d bytes is above the body limit of %d bytes", l.HeaderBytes, l.BodyBytes))
	}
	if l.IdleTime > 0 && l.IdleTime < l.HeaderTime {
		findings = append(findings, fmt.Sprintf("limits: the idle time of %d ms is below the header time of %d ms", l.IdleTime, l.HeaderTime))
	}
	return findings
}

// digits returns the first 8 digits of the digest of a key, which tell keys apart without
// showing them.
func digits(key gypsumrail.KeyDigest) string { return hex.EncodeToString(key[:4]) }

// Changes returns what the configuration adds (+), removes (-) and changes (~) in comparison
// to the one before it, in a fixed order.
func (c *Config) Changes(before *Config) []string {
	changes := diff("route", before.routes(), c.routes())
	changes = append(changes, diff("service", before.services(), c.services())...)
	changes = append(changes, diff("account", before.accounts(), c.accounts())...)
	return append(changes, diff("limits", before.limits(), c.limits())...)
}

// facts describes an entry by the names and values of its fields.
type facts map[string]string

func (c *Config) routes() map[string]facts {
	all := make(map[string]facts)
	for name, class := range c.Records.Classes {
		all[name] = facts{
			"host": class.Route.Host, "prefix": class.Route.Prefix, "importance": fmt.Sprint(class.Importance),
			"repeatable": fmt.Sprint(class.Repeatable), "timeout": fmt.Sprint(class.Timeout, " ms"), "objective": fmt.Sprint(class.Objective, " ms"),
			"attempts": fmt.Sprint(class.AttemptsMax), "service": class.Service, "weights": fmt.Sprint(class.Split),
			"anonymous": fmt.Sprint(class.Anonymous), "usable": fmt.Sprint(!class.Invalid),
		}
	}
	return all
}

func (c *Config) services() map[string]facts {
	all := make(map[string]facts)
	for name, service := range c.Records.Services {
		all[name] = facts{"connections": fmt.Sprint(service.ConnsMax)}
	}
	return all
}

func (c *Config) accounts() map[string]facts {
	all := make(map[string]facts)
	for _, account := range c.Accounts {
		keys := make([]string, len(account.Keys))
		for i, key := range account.Keys {
			keys[i] = digits(key)
		}
		slices.Sort(keys)
		all[account.Name] = facts{
			"priority": fmt.Sprint(account.Priority), "rate": fmt.Sprint(account.Rate), "burst": fmt.Sprint(account.Burst),
			"keys": "[" + strings.Join(keys, " ") + "]",
		}
	}
	return all
}

func (c *Config) limits() map[string]facts {
	l := c.Records.Limits
	return map[string]facts{"": {
		"header": fmt.Sprint(l.HeaderBytes, " bytes"), "body": fmt.Sprint(l.BodyBytes, " bytes"),
		"header time": fmt.Sprint(l.HeaderTime, " ms"), "idle time": fmt.Sprint(l.IdleTime, " ms"),
	}}
}

func diff(kind string, before, after map[string]facts) (changes []string) {
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		entry := kind
		if name != "" {
			entry += fmt.Sprintf(" %q", name)
		}
		old, was := before[name]
		now, is := after[name]
		switch {
		case !was:
			changes = append(changes, "+ "+entry)
		case !is:
			changes = append(changes, "- "+entry)
		default:
			for _, field := range slices.Sorted(maps.Keys(now)) {
				if old[field] != now[field] {
					changes = append(changes, fmt.Sprintf("~ %s: %s %s, was %s", entry, field, shown(now[field]), shown(old[field])))
				}
			}
		}
	}
	return changes
}

func shown(value string) string { return cmp.Or(value, "none") }
