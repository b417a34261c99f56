package record

import (
	"fmt"
	"strings"
)

// Reason is the kind of a fault. Its values are part of the messages.
type Reason string

// Reasons of faults.
const (
	ReasonSize             Reason = "Size"             // the set is larger than SizeMax
	ReasonSyntax           Reason = "Syntax"           // not JSON, or a value of the wrong JSON type
	ReasonMissing          Reason = "Missing"          // a required field is absent
	ReasonUnknownField     Reason = "UnknownField"     // the schema version has no such field
	ReasonUnknownKind      Reason = "UnknownKind"      // the kind is not Service, Target, Class or Tenant
	ReasonUnknownSchema    Reason = "UnknownSchema"    // the node knows none of the schema versions in which the name appears
	ReasonUnknownReference Reason = "UnknownReference" // a record names a service that is not in the set
	ReasonContradiction    Reason = "Contradiction"    // the values are valid one by one, but not together
	ReasonDuplicate        Reason = "Duplicate"        // a field, a name or an entry of a list appears twice
	ReasonRange            Reason = "Range"            // the value is outside its range
)

// Fault is one error in a record set, with its place, so that an operator can
// correct it without knowing the program.
type Fault struct { //nolint:errname // Faults and Fault are the names of the package's interface
	Source string // file or platform value
	Index  int    // position in Records, from 0; -1 for the set itself
	Kind   string // as far as it could be read
	Name   string // as far as it could be read
	Schema int    // schema version of the record; 0 if it could not be read
	Field  string // empty for the whole record
	Reason Reason
	Detail string // text for the operator: what is wrong, and the accepted values
}

// Error returns source, record, field, reason and detail in one line.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.Source)
	if f.Index >= 0 {
		fmt.Fprintf(&b, ": Records[%d]", f.Index)
		if f.Kind != "" || f.Name != "" {
			fmt.Fprintf(&b, " %s %q", f.Kind, f.Name)
		}
		if f.Schema != 0 {
			fmt.Fprintf(&b, " version %d", f.Schema)
		}
	}
	if f.Field != "" {
		b.WriteString(": " + f.Field)
	}
	fmt.Fprintf(&b, ": %s: %s", f.Reason, f.Detail)
	return b.String()
}

// Faults is the error that Parse returns. List has every fault of the set, ordered
// by record and field, and is never empty. If there are more than 10,000, it has the
// first 10,000 found and, as the last, one that states the number of the others.
type Faults struct { //nolint:errname // see Fault
	List []Fault
}

// Error returns one line for each fault.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single faults, for errors.As.
func (f *Faults) Unwrap() []error {
	list := make([]error, len(f.List))
	for i, fault := range f.List {
		list[i] = fault
	}
	return list
}

// problem is a fault without its place. The functions that read a value return it,
// and parser.fault adds the record and field.
type problem struct {
	reason Reason
	detail string
}

func problemf(reason Reason, format string, args ...any) *problem {
	return &problem{reason: reason, detail: fmt.Sprintf(format, args...)}
}
