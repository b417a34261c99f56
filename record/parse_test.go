package record_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/record"
)

// base is a valid set. %s is replaced by further records, each after a comma.
const base = `{"Revision": 7, "Records": [
{"SchemaVersion": 1, "Kind": "Service", "Name": "front", "Dependencies": ["deep"], "SlotsMax": 10, "ConnsMax": 20},
{"SchemaVersion": 1, "Kind": "Service", "Name": "deep", "SlotsMax": 10, "ConnsMax": 20},
{"SchemaVersion": 1, "Kind": "Target", "Name": "front-1", "Service": "front", "Zone": "a", "Capabilities": ["pdf"], "Slots": 10, "Conns": 20},
{"SchemaVersion": 1, "Kind": "Target", "Name": "deep-1", "Service": "deep", "Zone": "a", "Slots": 10, "Conns": 20}%s
]}`

func class(schema int, name, extra string) string {
	return fmt.Sprintf(`,{"SchemaVersion": %d, "Kind": "Class", "Name": %q, "Importance": 5, "DeadlineMillis": 900,
		"Repeatable": true, "Service": "front", "Uses": ["front", "deep"]%s}`, schema, name, extra)
}

func service(name, fields string) string {
	return fmt.Sprintf(`,{"SchemaVersion": 1, "Kind": "Service", "Name": %q, "SlotsMax": 1, "ConnsMax": 1%s}`, name, fields)
}

// Fails if Parse accepts an invalid set, or if the fault names the wrong record,
// field or reason. There is one case for each kind of fault.
func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		data   string // a whole set, or records after a comma that are added to the base
		field  string
		reason record.Reason
		record string // its name
	}{
		{"empty", ``, "", record.ReasonSyntax, ""},
		{"not JSON", `{"Revision": 1,`, "", record.ReasonSyntax, ""},
		{"second value", `{"Revision": 1, "Records": []} {}`, "", record.ReasonSyntax, ""},
		{"not an object", `[]`, "", record.ReasonSyntax, ""},
		{"too large", strings.Repeat(" ", record.SizeMax+1), "", record.ReasonSize, ""},
		{"no revision", `{"Records": []}`, "Revision", record.ReasonMissing, ""},
		{"no records", `{"Revision": 1}`, "Records", record.ReasonMissing, ""},
		{"records null", `{"Revision": 1, "Records": null}`, "Records", record.ReasonSyntax, ""},
		{"revision zero", `{"Revision": 0, "Records": []}`, "Revision", record.ReasonRange, ""},
		{"revision too high", `{"Revision": 9223372036854775808, "Records": []}`, "Revision", record.ReasonRange, ""},
		{"revision a string", `{"Revision": "1", "Records": []}`, "Revision", record.ReasonSyntax, ""},
		{"revision twice", `{"Revision": 1, "Revision": 1, "Records": []}`, "Revision", record.ReasonDuplicate, ""},
		{"name of another case", `{"Revision": 1, "Records": [], "records": []}`, "records", record.ReasonUnknownField, ""},
		{"record not an object", `,3`, "", record.ReasonSyntax, ""},
		{"no schema version", `,{"Kind": "Tenant", "Name": "t"}`, "SchemaVersion", record.ReasonMissing, "t"},
		{"schema version zero", `,{"SchemaVersion": 0, "Kind": "Tenant", "Name": "t"}`, "SchemaVersion", record.ReasonRange, "t"},
		{"only a future version", `,{"SchemaVersion": 3, "Kind": "Tenant", "Name": "t"}`, "SchemaVersion", record.ReasonUnknownSchema, "t"},
		{"unknown kind", `,{"SchemaVersion": 1, "Kind": "Tenants", "Name": "t"}`, "Kind", record.ReasonUnknownKind, "t"},
		{"kind not a word", `,{"SchemaVersion": 1, "Kind": 4, "Name": "t"}`, "Kind", record.ReasonUnknownKind, "t"},
		{"no name", `,{"SchemaVersion": 1, "Kind": "Tenant"}`, "Name", record.ReasonMissing, ""},
		{"empty name", `,{"SchemaVersion": 1, "Kind": "Tenant", "Name": ""}`, "Name", record.ReasonRange, ""},
		{"long name", `,{"SchemaVersion": 1, "Kind": "Tenant", "Name": "` + strings.Repeat("n", 129) + `"}`, "Name", record.ReasonRange, ""},
		{"line break in name", `,{"SchemaVersion": 1, "Kind": "Tenant", "Name": "a\nb"}`, "Name", record.ReasonRange, ""},
		{"name twice", service("deep", ""), "Name", record.ReasonDuplicate, "deep"},
		{"field twice", service("s", `, "SlotsMax": 2`), "SlotsMax", record.ReasonDuplicate, "s"},
		{"unknown field", service("s", `, "Slots": 2`), "Slots", record.ReasonUnknownField, "s"},
		{"field of a later version", class(1, "c", `, "Allowance": 2`), "Allowance", record.ReasonUnknownField, "c"},
		{"fault in the version that a higher one replaces", class(1, "c", `, "Color": 2`) + class(2, "c", ""), "Color", record.ReasonUnknownField, "c"},
		{"missing field", `,{"SchemaVersion": 1, "Kind": "Service", "Name": "s", "SlotsMax": 1}`, "ConnsMax", record.ReasonMissing, "s"},
		{"null", service("s", `, "Dependencies": null`), "Dependencies", record.ReasonSyntax, "s"},
		{"wrong type", `,{"SchemaVersion": 1, "Kind": "Tenant", "Name": "t", "Share": true}`, "Share", record.ReasonSyntax, "t"},
		{"share too high", `,{"SchemaVersion": 1, "Kind": "Tenant", "Name": "t", "Share": 1.1}`, "Share", record.ReasonRange, "t"},
		{"protocol", service("s", `, "Protocol": "h2"`), "Protocol", record.ReasonRange, "s"},
		{"allowance too high", class(2, "c", `, "Allowance": 17`), "Allowance", record.ReasonRange, "c"},
		{"not a whole number", class(2, "c", `, "Allowance": 1.5`), "Allowance", record.ReasonRange, "c"},
		{"overflow", class(2, "c", `, "AnswerBytes": 1e99`), "AnswerBytes", record.ReasonRange, "c"},
		{"duplicate in a list", service("s", `, "Dependencies": ["deep", "deep"]`), "Dependencies", record.ReasonDuplicate, "s"},
		{"unknown dependency", service("s", `, "Dependencies": ["gone"]`), "Dependencies", record.ReasonUnknownReference, "s"},
		{"unknown service of a target", `,{"SchemaVersion": 1, "Kind": "Target", "Name": "x", "Service": "gone", "Zone": "a", "Slots": 1, "Conns": 1}`,
			"Service", record.ReasonUnknownReference, "x"},
		{"cycle over one", service("s", `, "Dependencies": ["s"]`), "Dependencies", record.ReasonContradiction, "s"},
		{"cycle over two", service("s", `, "Dependencies": ["t"]`) + service("t", `, "Dependencies": ["s"]`), "Dependencies", record.ReasonContradiction, "t"},
		{"unknown use", strings.Replace(class(1, "c", ""), `"deep"`, `"gone"`, 1), "Uses", record.ReasonUnknownReference, "c"},
		{"uses without entry", strings.Replace(class(1, "c", ""), `"front", "deep"`, `"deep"`, 1), "Uses", record.ReasonContradiction, "c"},
		{"capabilities outside uses", class(1, "c", `, "Capabilities": {"other": ["pdf"]}`), "Capabilities", record.ReasonContradiction, "c"},
		{"no target has the capability", class(1, "c", `, "Capabilities": {"deep": ["pdf"]}`), "Capabilities", record.ReasonContradiction, "c"},
		{"service without target", service("s", "") + strings.Replace(class(1, "c", ""), `"deep"`, `"s"`, 1), "Uses", record.ReasonContradiction, "c"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data := test.data
			if strings.HasPrefix(data, ",") {
				data = fmt.Sprintf(base, data)
			}
			records, err := record.Parse("set.json", []byte(data), record.Options{})
			var faults *record.Faults
			if records != nil || !errors.As(err, &faults) || len(faults.List) != 1 {
				t.Fatalf("want one fault, got records %v, error %v", records, err)
			}
			got := faults.List[0]
			want := record.Fault{Source: "set.json", Field: test.field, Reason: test.reason, Name: test.record,
				Index: got.Index, Kind: got.Kind, Schema: got.Schema, Detail: got.Detail}
			if diff := cmp.Diff(want, got); diff != "" || got.Detail == "" {
				t.Errorf("fault differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Fails if Parse does not report all faults of a set at once. An operator would
// need one publication for each fault.
func TestFaultsAllAtOnce(t *testing.T) {
	data := fmt.Sprintf(base, service("s", `, "Dependencies": ["gone"], "Color": 1`)+
		class(2, "c", `, "Allowance": -1, "Capabilities": {"deep": ["pdf"], "other": ["x"]}`)+
		`,{"SchemaVersion": 3, "Kind": "Tenant", "Name": "t"}`)
	_, err := record.Parse("set.json", []byte(data), record.Options{})
	want := `set.json: Records[4] Service "s" version 1: Color: UnknownField: there is no such field
set.json: Records[4] Service "s" version 1: Dependencies: UnknownReference: there is no service "gone"
set.json: Records[5] Class "c" version 2: Allowance: Range: -1 is not a whole number from 0 to 16
set.json: Records[5] Class "c" version 2: Capabilities: Contradiction: no target of service "deep" can serve pdf
set.json: Records[5] Class "c" version 2: Capabilities: Contradiction: service "other" is not in Uses
set.json: Records[6] Tenant "t" version 3: SchemaVersion: UnknownSchema: the name stands in no schema version from 1 to 2`
	if err == nil {
		t.Fatal("the set was accepted")
	}
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Errorf("faults differ (-want +got):\n%s", diff)
	}
	var fault record.Fault
	if !errors.As(err, &fault) || fault.Name != "s" {
		t.Errorf("errors.As finds %+v, not the first fault", fault)
	}
}

// Fails if the list of faults is unbounded: a set with very many faults could use
// all memory of a node.
func TestFaultsBounded(t *testing.T) {
	data := `{"Revision": 1, "Records": [{}` + strings.Repeat(",{}", 30_000) + `]}`
	_, err := record.Parse("set.json", []byte(data), record.Options{})
	var faults *record.Faults
	if !errors.As(err, &faults) || len(faults.List) != 10_001 {
		t.Fatal("want 10,000 faults and one that counts the rest")
	}
	if diff := cmp.Diff("80003 more faults are not listed", faults.List[10_000].Detail); diff != "" {
		t.Errorf("last fault (-want +got):\n%s", diff)
	}
}

// Fails if old and new nodes read one set differently while a fleet is upgraded.
// Version 2 may only add fields to version 1.
func TestSchemaVersionsSideBySide(t *testing.T) {
	extra := `, "Capabilities": {"front": ["pdf"]}`
	data := fmt.Sprintf(base, class(2, "both", extra+`, "Allowance": 1, "LateIsWorthless": true, "AnswerBytes": 4096`)+
		class(1, "both", extra)+class(3, "both", `, "Future": {}`)+class(1, "old", ""))
	read := func(schemaMax int) *gypsumrail.Records {
		records, err := record.Parse("set.json", []byte(data), record.Options{SchemaMax: schemaMax})
		if err != nil {
			t.Fatalf("schema versions up to %d: %v", schemaMax, err)
		}
		return records
	}
	older, newer := read(1), read(2)
	want := gypsumrail.Class{Name: "both", Importance: 5, Deadline: 900, Repeatable: true, Service: "front", Uses: []string{"front", "deep"},
		Capabilities: map[string][]string{"front": {"pdf"}}, Allowance: record.DefaultAllowance}
	if diff := cmp.Diff(want, *older.Classes["both"]); diff != "" {
		t.Errorf("version 1 node (-want +got):\n%s", diff)
	}
	want.Allowance, want.LateIsWorthless, want.AnswerBytes = 1, true, 4096
	if diff := cmp.Diff(want, *newer.Classes["both"]); diff != "" {
		t.Errorf("version 2 node (-want +got):\n%s", diff)
	}
	// Apart from the fields that version 2 added to this class, both nodes must have
	// the same records.
	newer.Classes["both"] = older.Classes["both"]
	if diff := cmp.Diff(older, newer); diff != "" {
		t.Errorf("the nodes differ (-version 1 +version 2):\n%s", diff)
	}
}

// Fails if an old node accepts a set in which a name has only a newer schema
// version. The node would serve without that record.
func TestOnlyNewerVersion(t *testing.T) {
	data := fmt.Sprintf(base, class(2, "new", ""))
	if _, err := record.Parse("set.json", []byte(data), record.Options{}); err != nil {
		t.Errorf("version 2 node: %v", err)
	}
	if _, err := record.Parse("set.json", []byte(data), record.Options{SchemaMax: 1}); err == nil {
		t.Error("a node of version 1 accepted a name that it cannot read")
	}
}

// large returns a valid set of about the given size in bytes.
func large(size int) []byte {
	var b strings.Builder
	for i := 0; b.Len() < size-1500; i++ {
		b.WriteString(class(2, fmt.Sprintf("class-%d", i), `, "Allowance": 3`))
		b.WriteString(strings.ReplaceAll(`,{"SchemaVersion": 1, "Kind": "Target", "Name": "deep-x%", "Service": "deep", "Zone": "b", "Slots": 1, "Conns": 1}`,
			"%", fmt.Sprint(i)))
	}
	return fmt.Appendf(nil, base, b.String())
}

// Fails if a set near the platform's limit of 1 MB is rejected or loses records.
func TestLargeSet(t *testing.T) {
	data := large(1_000_000)
	records, err := record.Parse("set.json", data, record.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) < 990_000 || len(records.Classes) != len(records.Targets)-2 || len(records.Classes) < 2500 {
		t.Errorf("%d bytes gave %d classes and %d targets", len(data), len(records.Classes), len(records.Targets))
	}
}

func BenchmarkParseLarge(b *testing.B) {
	data := large(1_000_000)
	for b.Loop() {
		if _, err := record.Parse("set.json", data, record.Options{}); err != nil {
			b.Fatal(err)
		}
	}
}

// Fails if an input makes Parse panic, or if Parse accepts a set with values outside
// the ranges on which the rest of the node relies.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(base, class(1, "c", "")+class(2, "c", `, "Allowance": 0`))), 1)
	f.Add([]byte(fmt.Sprintf(base, service("s", `, "Dependencies": ["s"]`))), 2)
	f.Add([]byte(`{"Revision": 1, "Records": [null, [], {"Name": 3}]}`), 0)
	f.Add([]byte(`{"Revision": 9e99, "Records": {}, "Records": []}`), 2)
	f.Fuzz(func(t *testing.T, data []byte, schemaMax int) {
		records, err := record.Parse("fuzz", data, record.Options{SchemaMax: schemaMax})
		if (records == nil) == (err == nil) {
			t.Fatalf("records %v with error %v", records, err)
		}
		if err != nil {
			var faults *record.Faults
			if !errors.As(err, &faults) || len(faults.List) == 0 || err.Error() == "" {
				t.Fatalf("error without faults: %#v", err)
			}
			return
		}
		if records.Revision < 1 || records.Revision > math.MaxInt64 {
			t.Errorf("revision %d", records.Revision)
		}
		for _, class := range records.Classes {
			if class.Importance < 0 || class.Importance > 9 || class.Deadline < 1 || class.Allowance < 0 || records.Services[class.Service] == nil {
				t.Errorf("class %+v", class)
			}
		}
	})
}
