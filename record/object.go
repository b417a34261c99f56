package record

import (
	"bytes"
	"encoding/json"
)

// member is one name and value of a JSON object.
type member struct {
	name string
	raw  json.RawMessage
}

// members returns the members of a JSON object in their order, and the names that
// appear again. Of the members with the same name, the list has only the first. It
// returns false if the data, which must be valid JSON, is not an object. It is used instead of decoding
// into a struct because encoding/json ignores the case of names, silently keeps
// the last of two equal names, and stops at the first unknown name.
func members(raw json.RawMessage) (list []member, duplicates []string, ok bool) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	start, err := decoder.Token()
	if err != nil || start != json.Delim('{') {
		return nil, nil, false
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, nil, false
		}
		name, isName := token.(string)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil || !isName {
			return nil, nil, false
		}
		if seen[name] {
			duplicates = append(duplicates, name)
			continue
		}
		seen[name] = true
		list = append(list, member{name, value})
	}
	return list, duplicates, true
}

// findMember returns the value of a member, or nil if there is none.
func findMember(list []member, name string) json.RawMessage {
	for _, m := range list {
		if m.name == name {
			return m.raw
		}
	}
	return nil
}
