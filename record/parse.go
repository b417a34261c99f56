// Package record parses and validates record sets.
//
// Operators control a fleet by publishing records and by nothing else, so an
// error in them reaches every node within seconds. This package therefore
// accepts a set only as a whole and reports all of its faults at once, each with
// file, record, field and reason. In an accepted set every reference resolves, and
// each service that a class uses has a target with the capabilities it needs.
//
// While a fleet is upgraded, nodes that know different schema versions read the
// same set. A name may have one record per schema version; a node uses the record
// of the highest version that it knows.
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

// faultsMax bounds the memory that the faults of one set use: a set of 1 MiB of
// empty records would have a million faults. No fleet has 10,000 records.
const faultsMax = 10_000

// Options of Parse.
type Options struct {
	// SchemaMax is the highest schema version that Parse reads. A lower one
	// reproduces an older node. If it is outside 1 to the constant SchemaMax,
	// Parse uses the constant.
	SchemaMax int
}

// key identifies a record of any schema version.
type key struct{ kind, name string }

// header has the fields of a record that all schema versions share, and its place.
type header struct {
	index   int // position in Records, from 0; -1 for the set itself
	key     key
	schema  int      // schema version; 0 if it could not be read
	members []member // of the JSON object
}

// parser collects the records and faults of one set.
type parser struct {
	source    string
	schemaMax int
	faults    []Fault
	unlisted  int // number of faults that exceeded faultsMax
	records   *gypsumrail.Records
	chosen    map[key]header // per name, the record with the schema version that is used
	faulty    map[key]bool   // the chosen record has a fault in a field
}

// Parse reads and validates one set. The source names the file or platform value
// in faults. If the set has faults, the records are nil and the error is a *Faults.
// Parse is safe for concurrent use.
func Parse(source string, data []byte, options Options) (*gypsumrail.Records, error) {
	p := &parser{
		source:    source,
		schemaMax: options.SchemaMax,
		records: &gypsumrail.Records{
			Services: map[string]*gypsumrail.Service{},
			Targets:  map[string]*gypsumrail.Target{},
			Classes:  map[string]*gypsumrail.Class{},
			Accounts: map[string]*gypsumrail.Account{},
		},
		chosen: map[key]header{},
		faulty: map[key]bool{},
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

// parse reads the set into records and faults.
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
		p.faultSet(duplicate, problemf(ReasonDuplicate, "the field appears twice"))
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
		if findMember(list, required) == nil {
			p.faultSet(required, problemf(ReasonMissing, "the field is required"))
		}
	}
	p.readAll(entries)
	p.checkAll()
}

// readAll chooses the schema version of each name and reads the fields of all
// known versions. Versions that a higher one replaces are checked too. Otherwise
// nodes that know only a lower version would reject a set that this node accepts.
func (p *parser) readAll(entries []json.RawMessage) {
	headers := make([]header, 0, len(entries))
	type recordVersion struct {
		key
		schema int
	}
	seen := map[recordVersion]bool{}
	for i, raw := range entries {
		h, ok := p.readHeader(i, raw)
		if !ok {
			continue
		}
		if seen[recordVersion{h.key, h.schema}] {
			p.fault(h, "Name", problemf(ReasonDuplicate, "the name appears twice in schema version %d", h.schema))
			continue
		}
		seen[recordVersion{h.key, h.schema}] = true
		headers = append(headers, h)
		best, exists := p.chosen[h.key]
		if !exists || supersedes(h.schema, best.schema, p.schemaMax) {
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

// supersedes reports whether a schema version is used instead of another. Versions
// up to known supersede unknown ones, and the higher of two known ones supersedes
// the lower.
func supersedes(schema, other, known int) bool {
	if schema > known {
		return false
	}
	return other > known || schema > other
}

// readHeader reads the fields that all schema versions share. It returns false if
// one of them is missing or has a fault.
func (p *parser) readHeader(index int, raw json.RawMessage) (header, bool) {
	h := header{index: index}
	list, duplicates, ok := members(raw)
	if !ok {
		p.fault(h, "", problemf(ReasonSyntax, "must be an object"))
		return h, false
	}
	h.members = list
	// Kind and name are read first so that all faults of the record name them.
	if value := findMember(list, "Kind"); value != nil {
		_ = json.Unmarshal(value, &h.key.kind)
	}
	var badName *problem
	if value := findMember(list, "Name"); value != nil {
		h.key.name, badName = readName(value)
	}
	for _, duplicate := range duplicates {
		p.fault(h, duplicate, problemf(ReasonDuplicate, "the field appears twice"))
	}
	before := len(p.faults) + p.unlisted
	for _, required := range headerNames {
		if findMember(list, required) == nil {
			p.fault(h, required, problemf(ReasonMissing, "the field is required"))
		}
	}
	p.fault(h, "Name", badName)
	if value := findMember(list, "SchemaVersion"); value != nil {
		schema, bad := readWhole(value, schemaMin, math.MaxInt32)
		p.fault(h, "SchemaVersion", bad)
		h.schema = int(schema)
	}
	switch h.key.kind {
	case kindService, kindTarget, kindClass, kindAccount:
	default:
		if findMember(list, "Kind") != nil {
			p.fault(h, "Kind", problemf(ReasonUnknownKind, "must be %s, %s, %s or %s",
				kindService, kindTarget, kindClass, kindAccount))
		}
	}
	return h, len(p.faults)+p.unlisted == before
}

// readRecord reads the fields of one record and stores it if it is the chosen one
// of its name. Faults are reported for other records too.
func (p *parser) readRecord(h header, chosen bool) {
	report := func(field string, bad *problem) {
		p.fault(h, field, bad)
		if chosen {
			p.faulty[h.key] = true
		}
	}
	switch h.key.kind {
	case kindService:
		service := &gypsumrail.Service{Name: h.key.name, Protocol: defaultProtocol, ColdStart: DefaultColdStart, ZoneDelay: DefaultZoneDelay}
		readFields(serviceFields, h.schema, h.members, service, report)
		storeChosen(p.records.Services, h, chosen, service)
	case kindTarget:
		target := &gypsumrail.Target{Name: h.key.name}
		readFields(targetFields, h.schema, h.members, target, report)
		storeChosen(p.records.Targets, h, chosen, target)
	case kindClass:
		class := &gypsumrail.Class{Name: h.key.name, Allowance: DefaultAllowance}
		readFields(classFields, h.schema, h.members, class, report)
		storeChosen(p.records.Classes, h, chosen, class)
	case kindAccount:
		account := &gypsumrail.Account{Name: h.key.name}
		readFields(accountFields, h.schema, h.members, account, report)
		storeChosen(p.records.Accounts, h, chosen, account)
	}
}

// storeChosen stores a record under its name if it is the chosen one.
func storeChosen[T any](records map[string]*T, h header, chosen bool, value *T) {
	if chosen {
		records[h.key.name] = value
	}
}

// fault adds a problem of a record to the faults. It does nothing if bad is nil.
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

// faultSet adds a problem of the set itself to the faults, unless bad is nil.
func (p *parser) faultSet(field string, bad *problem) {
	p.fault(header{index: -1}, field, bad)
}
