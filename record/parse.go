// Package record parses and validates record sets.
//
// Operators control a fleet by publishing records and by nothing else, so an
// error in them reaches every node within seconds. This package therefore
// accepts a set only as a whole and reports all of its faults at once, with
// file, record, field and reason. A set that it accepts can be served: every
// reference resolves and every class has a target for each service it uses.
//
// While a fleet is upgraded, nodes that know different schema versions read the
// same set. A name may stand in several schema versions; a node takes the
// highest that it knows.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/gypsumrail/gypsumrail"
)

// SizeMax is the largest accepted set in bytes. The platform holds values up to 1 MB.
const SizeMax = 1 << 20

// faultsMax bounds the memory that a set made of nothing but faults takes: 1 MiB
// of empty records has a million of them. No set of a fleet has as many records.
const faultsMax = 10_000

// Options of Parse.
type Options struct {
	// SchemaMax is the highest schema version that the node knows, so that an
	// old node can be reproduced. Zero and values above SchemaMax take SchemaMax.
	SchemaMax int
}

// key identifies a record of any schema version.
type key struct{ kind, name string }

// header is what all schema versions share, and where the record stands.
type header struct {
	index   int
	key     key
	schema  int
	members []member
}

// parser collects the records and faults of one set.
type parser struct {
	source    string
	schemaMax int
	faults    []Fault
	unlisted  int // faults beyond faultsMax
	records   *gypsumrail.Records
	chosen    map[key]header // per name, the record whose schema version counts
	broken    map[key]bool   // the record that counts has a faulty field
}

// Parse reads one set. The source names the file or platform value in faults.
// The error, if any, is a *Faults; the records are then nil. It is safe for
// concurrent use.
func Parse(source string, data []byte, options Options) (*gypsumrail.Records, error) {
	p := &parser{
		source:    source,
		schemaMax: options.SchemaMax,
		records: &gypsumrail.Records{
			Services: map[string]*gypsumrail.Service{},
			Targets:  map[string]*gypsumrail.Target{},
			Classes:  map[string]*gypsumrail.Class{},
			Tenants:  map[string]*gypsumrail.Tenant{},
		},
		chosen: map[key]header{},
		broken: map[key]bool{},
	}
	if p.schemaMax < schemaMin || p.schemaMax > SchemaMax {
		p.schemaMax = SchemaMax
	}
	p.parse(data)
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		if p.unlisted > 0 {
			p.faults = append(p.faults, Fault{Source: source, Index: -1, Reason: ReasonSize,
				Detail: fmt.Sprintf("%d more faults are not listed", p.unlisted)})
		}
		return nil, &Faults{List: p.faults}
	}
	return p.records, nil
}

func (p *parser) parse(data []byte) {
	if len(data) > SizeMax {
		p.faultSet("", problemf(ReasonSize, "the set is larger than %d bytes", SizeMax))
		return
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			p.faultSet("", problemf(ReasonSyntax, "%v at byte %d", err, syntax.Offset))
			return
		}
		p.faultSet("", problemf(ReasonSyntax, "%v", err))
		return
	}
	list, duplicates, ok := members(raw)
	if !ok {
		p.faultSet("", problemf(ReasonSyntax, "must be an object with Revision and Records"))
		return
	}
	for _, duplicate := range duplicates {
		p.faultSet(duplicate, problemf(ReasonDuplicate, "the field stands twice"))
	}
	var entries []json.RawMessage
	for _, m := range list {
		switch m.name {
		case "Revision":
			revision, bad := readWhole(m.raw, 1, math.MaxInt64)
			p.faultSet(m.name, bad)
			p.records.Revision = gypsumrail.Revision(revision)
		case "Records":
			if m.raw[0] != '[' || json.Unmarshal(m.raw, &entries) != nil {
				p.faultSet(m.name, problemf(ReasonSyntax, "must be a list of records"))
			}
		default:
			p.faultSet(m.name, problemf(ReasonUnknownField, "there is no such field"))
		}
	}
	for _, required := range []string{"Revision", "Records"} {
		if find(list, required) == nil {
			p.faultSet(required, problemf(ReasonMissing, "the field is required"))
		}
	}
	p.readAll(entries)
	p.checkAll()
}

// readAll chooses the schema version of each name and reads the fields of all
// known versions. Versions that a higher one replaces are read too, because
// nodes that know only them must not refuse a set that this node accepts for
// such a reason.
func (p *parser) readAll(entries []json.RawMessage) {
	headers := make([]header, 0, len(entries))
	type place struct {
		key
		schema int
	}
	seen := map[place]bool{}
	for i, raw := range entries {
		h, ok := p.readHeader(i, raw)
		if !ok {
			continue
		}
		if seen[place{h.key, h.schema}] {
			p.fault(h, "Name", problemf(ReasonDuplicate, "the name stands twice in schema version %d", h.schema))
			continue
		}
		seen[place{h.key, h.schema}] = true
		headers = append(headers, h)
		best, exists := p.chosen[h.key]
		if !exists || better(h.schema, best.schema, p.schemaMax) {
			p.chosen[h.key] = h
		}
	}
	for _, h := range headers {
		best := p.chosen[h.key]
		switch {
		case h.schema <= p.schemaMax:
			p.readRecord(h, best.index == h.index)
		case best.index == h.index:
			p.fault(h, "SchemaVersion", problemf(ReasonUnknownSchema,
				"the name stands in no schema version from %d to %d", schemaMin, p.schemaMax))
		}
	}
}

// better tells whether a schema version replaces another: known ones replace
// unknown ones, and higher known ones lower ones.
func better(schema, than, known int) bool {
	if schema > known {
		return false
	}
	return than > known || schema > than
}

// readHeader reads the fields that all schema versions share.
func (p *parser) readHeader(index int, raw json.RawMessage) (header, bool) {
	h := header{index: index}
	list, duplicates, ok := members(raw)
	if !ok {
		p.fault(h, "", problemf(ReasonSyntax, "must be an object"))
		return h, false
	}
	h.members = list
	// Kind and name are read first so that faults can state them.
	if value := find(list, "Kind"); value != nil {
		_ = json.Unmarshal(value, &h.key.kind)
	}
	var badName *problem
	if value := find(list, "Name"); value != nil {
		h.key.name, badName = readName(value)
	}
	for _, duplicate := range duplicates {
		p.fault(h, duplicate, problemf(ReasonDuplicate, "the field stands twice"))
	}
	before := len(p.faults) + p.unlisted
	for _, required := range headerNames {
		if find(list, required) == nil {
			p.fault(h, required, problemf(ReasonMissing, "the field is required"))
		}
	}
	p.fault(h, "Name", badName)
	if value := find(list, "SchemaVersion"); value != nil {
		schema, bad := readWhole(value, schemaMin, math.MaxInt32)
		p.fault(h, "SchemaVersion", bad)
		h.schema = int(schema)
	}
	switch h.key.kind {
	case kindService, kindTarget, kindClass, kindTenant:
	default:
		if find(list, "Kind") != nil {
			p.fault(h, "Kind", problemf(ReasonUnknownKind, "must be %s, %s, %s or %s",
				kindService, kindTarget, kindClass, kindTenant))
		}
	}
	return h, len(p.faults)+p.unlisted == before
}

func (p *parser) readRecord(h header, counts bool) {
	report := func(field string, bad *problem) {
		p.fault(h, field, bad)
		if counts {
			p.broken[h.key] = true
		}
	}
	switch h.key.kind {
	case kindService:
		service := &gypsumrail.Service{Name: h.key.name, Protocol: defaultProtocol, ColdStart: DefaultColdStart, ZoneDelay: DefaultZoneDelay}
		readFields(serviceFields, h.schema, h.members, service, report)
		keep(p.records.Services, h, counts, service)
	case kindTarget:
		target := &gypsumrail.Target{Name: h.key.name}
		readFields(targetFields, h.schema, h.members, target, report)
		keep(p.records.Targets, h, counts, target)
	case kindClass:
		class := &gypsumrail.Class{Name: h.key.name, Allowance: DefaultAllowance}
		readFields(classFields, h.schema, h.members, class, report)
		keep(p.records.Classes, h, counts, class)
	case kindTenant:
		tenant := &gypsumrail.Tenant{Name: h.key.name}
		readFields(tenantFields, h.schema, h.members, tenant, report)
		keep(p.records.Tenants, h, counts, tenant)
	}
}

func keep[T any](records map[string]*T, h header, counts bool, value *T) {
	if counts {
		records[h.key.name] = value
	}
}

// fault records a problem of a record, if there is one.
func (p *parser) fault(h header, field string, bad *problem) {
	if bad == nil {
		return
	}
	if len(p.faults) == faultsMax {
		p.unlisted++
		return
	}
	p.faults = append(p.faults, Fault{
		Source: p.source, Index: h.index, Kind: h.key.kind, Name: h.key.name, Schema: h.schema,
		Field: field, Reason: bad.reason, Detail: bad.detail,
	})
}

// faultSet records a problem of the set itself, if there is one.
func (p *parser) faultSet(field string, bad *problem) {
	p.fault(header{index: -1}, field, bad)
}
