package record

import (
	"encoding/json"
	"slices"
	"strconv"
)

// field describes one field of a kind of record. T is the type of the parsed record.
type field[T any] struct {
	name     string
	since    int // schema version that introduced it
	required bool
	read     reader[T]
}

// reader stores a JSON value in a record, or returns why it is not accepted. The
// value has at least one byte. The readers check the first one, because
// json.Unmarshal accepts null, and a quoted json.Number, without an error.
type reader[T any] func(into *T, raw json.RawMessage) *problem

// Limits of names and lists. Names are sent in headers, idempotency keys and
// control messages, whose sizes are limited too.
const (
	nameBytesMax = 128
	listNamesMax = 256
)

// readFields fills a record from the members of its JSON object. It calls report
// for each field that is unknown, missing or not accepted.
func readFields[T any](fields []field[T], schema int, list []member, into *T, report func(string, *problem)) {
	for _, m := range list {
		if slices.Contains(headerNames, m.name) {
			continue
		}
		i := slices.IndexFunc(fields, func(f field[T]) bool { return f.name == m.name })
		switch {
		case i < 0:
			report(m.name, problemf(ReasonUnknownField, "there is no such field"))
		case fields[i].since > schema:
			report(m.name, problemf(ReasonUnknownField, "the field exists from schema version %d on", fields[i].since))
		default:
			if p := fields[i].read(into, m.raw); p != nil {
				report(m.name, p)
			}
		}
	}
	for _, f := range fields {
		if f.required && f.since <= schema && findMember(list, f.name) == nil {
			report(f.name, problemf(ReasonMissing, "the field is required"))
		}
	}
}

// wholeField reads a whole number from low to high.
func wholeField[T any](low, high int64, set func(*T, int64)) reader[T] {
	return func(into *T, raw json.RawMessage) *problem {
		value, p := readWhole(raw, low, high)
		if p == nil {
			set(into, value)
		}
		return p
	}
}

// readWhole reads a JSON number that is a whole number from low to high.
func readWhole(raw json.RawMessage, low, high int64) (int64, *problem) {
	var number json.Number
	if raw[0] == '"' || json.Unmarshal(raw, &number) != nil || number == "" {
		return 0, problemf(ReasonSyntax, "must be a whole number from %d to %d", low, high)
	}
	value, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil || value < low || value > high {
		return 0, problemf(ReasonRange, "%.40s is not a whole number from %d to %d", number, low, high)
	}
	return value, nil
}

// shareField reads a number from 0 to 1.
func shareField[T any](set func(*T, float64)) reader[T] {
	return func(into *T, raw json.RawMessage) *problem {
		var value float64
		if raw[0] == 'n' || json.Unmarshal(raw, &value) != nil {
			return problemf(ReasonSyntax, "must be a number from 0 to 1")
		}
		if value < 0 || value > 1 {
			return problemf(ReasonRange, "%g is not from 0 to 1", value)
		}
		set(into, value)
		return nil
	}
}

// boolField reads true or false.
func boolField[T any](set func(*T, bool)) reader[T] {
	return func(into *T, raw json.RawMessage) *problem {
		var value bool
		if raw[0] == 'n' || json.Unmarshal(raw, &value) != nil {
			return problemf(ReasonSyntax, "must be true or false")
		}
		set(into, value)
		return nil
	}
}

// nameField reads a name, as readName accepts it.
func nameField[T any](set func(*T, string)) reader[T] {
	return func(into *T, raw json.RawMessage) *problem {
		value, p := readName(raw)
		if p == nil {
			set(into, value)
		}
		return p
	}
}

// wordField reads one of the given words.
func wordField[T any](words []string, set func(*T, string)) reader[T] {
	return func(into *T, raw json.RawMessage) *problem {
		var value string
		if raw[0] == 'n' || json.Unmarshal(raw, &value) != nil {
			return problemf(ReasonSyntax, "must be one of %q", words)
		}
		if !slices.Contains(words, value) {
			return problemf(ReasonRange, "%.40q is not one of %q", value, words)
		}
		set(into, value)
		return nil
	}
}

// namesField reads a list of namesMin to listNamesMax different names.
func namesField[T any](namesMin int, set func(*T, []string)) reader[T] {
	return func(into *T, raw json.RawMessage) *problem {
		list, p := readNames(raw, namesMin)
		if p == nil {
			set(into, list)
		}
		return p
	}
}

// namesByServiceField reads an object that gives a list of names for each service.
func namesByServiceField[T any](set func(*T, map[string][]string)) reader[T] {
	return func(into *T, raw json.RawMessage) *problem {
		list, duplicates, ok := members(raw)
		if !ok {
			return problemf(ReasonSyntax, "must be an object that gives a list of names for each service")
		}
		if len(duplicates) > 0 {
			return problemf(ReasonDuplicate, "%.40q appears twice", duplicates[0])
		}
		value := make(map[string][]string, len(list))
		for _, m := range list {
			names, p := readNames(m.raw, 1)
			if p != nil {
				return problemf(p.reason, "%.40q: %s", m.name, p.detail)
			}
			value[m.name] = names
		}
		set(into, value)
		return nil
	}
}

// readNames reads a JSON list of namesMin to listNamesMax different names.
func readNames(raw json.RawMessage, namesMin int) ([]string, *problem) {
	var entries []json.RawMessage
	if raw[0] != '[' || json.Unmarshal(raw, &entries) != nil {
		return nil, problemf(ReasonSyntax, "must be a list of names")
	}
	if len(entries) < namesMin || len(entries) > listNamesMax {
		return nil, problemf(ReasonRange, "has %d names, not %d to %d", len(entries), namesMin, listNamesMax)
	}
	list := make([]string, 0, len(entries))
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		value, p := readName(entry)
		if p != nil {
			return nil, p
		}
		if seen[value] {
			return nil, problemf(ReasonDuplicate, "%q appears twice", value)
		}
		seen[value] = true
		list = append(list, value)
	}
	return list, nil
}

// readName reads a JSON string that is a name: 1 to nameBytesMax ASCII letters,
// digits, dots, underscores and hyphens.
func readName(raw json.RawMessage) (string, *problem) {
	var value string
	if raw[0] != '"' || json.Unmarshal(raw, &value) != nil {
		return "", problemf(ReasonSyntax, "must be a name in quotes")
	}
	if value == "" || len(value) > nameBytesMax {
		return "", problemf(ReasonRange, "a name has 1 to %d characters", nameBytesMax)
	}
	for _, r := range value {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '_', r == '-':
		default:
			return "", problemf(ReasonRange, "%.40q has a character outside A-Z a-z 0-9 . _ -", value)
		}
	}
	return value, nil
}
