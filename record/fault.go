package record

import (
	"fmt"
	"strings"
)

// Reason classifies a fault.
type Reason string

// Reasons of faults.
const (
	ReasonSize             Reason = "Size"             // the set is larger than SizeMax
	ReasonSyntax           Reason = "Syntax"           // not JSON, or a value of the wrong JSON type
	ReasonMissing          Reason = "Missing"          // a required field is absent
	ReasonUnknownField     Reason = "UnknownField"     // the schema version has no such field
	ReasonUnknownKind      Reason = "UnknownKind"      // the kind is not one of the four
	ReasonUnknownSchema    Reason = "UnknownSchema"    // the name stands in no known schema version
	ReasonUnknownReference Reason = "UnknownReference" // a named record is not in the set
	ReasonContradiction    Reason = "Contradiction"    // valid by themselves, impossible together
	ReasonDuplicate        Reason = "Duplicate"        // stands twice
	ReasonRange            Reason = "Range"            // the value is outside its range
)

// Fault is one error in a record set. It says where the error is, so that an
// operator can correct it without knowing the program.
type Fault struct { //nolint:errname // Faults and Fault are the names of the package's interface
	Source string // file or platform value
	Index  int    // position in Records, from 0; -1 for the set itself
	Kind   string // as far as it could be read
	Name   string // as far as it could be read
	Schema int    // schema version of the record; 0 if it could not be read
	Field  string // empty for the whole record
	Reason Reason
	Detail string // what is wrong, in plain words, with the accepted values
}

// Error returns file, record, field and reason in one line.
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

// Faults is the error that Parse returns: every fault of the set, ordered by
// record. It is never empty. Beyond 10,000 faults, the last one counts the rest.
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

// problem is a fault whose place is not yet known.
type problem struct {
	reason Reason
	detail string
}

func problemf(reason Reason, format string, args ...any) *problem {
	return &problem{reason: reason, detail: fmt.Sprintf(format, args...)}
}
