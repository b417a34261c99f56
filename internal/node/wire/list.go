package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/gypsumrail/gypsumrail"
)

// instancesMax is the largest accepted number of entries in the instance list.
// The design size is 640 instances.
const instancesMax = 8192

// coldStartMax is the longest remaining slow start of a target that an entry may
// state.
const coldStartMax = 10 * gypsumrail.Minute

// listBody is the JSON form of the instance list.
type listBody struct {
	Instances []listEntry
}

type listEntry struct {
	Name        string
	Service     string
	Zone        string
	Address     string
	Incarnation uint64 `json:",omitempty"`
	Leaving     bool   `json:",omitempty"`
	Slots       int    `json:",omitempty"`
	Cold        int64  `json:",omitempty"` // milliseconds
}

// ParseInstances parses the platform's instance list. It rejects the whole list
// if one entry is malformed. The error is or wraps a *FieldError; for malformed
// JSON it wraps that of the decoder.
func ParseInstances(content []byte) ([]gypsumrail.Instance, error) {
	var body listBody
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, fmt.Errorf("parse the list of instances: %w", err)
	}
	if decoder.More() {
		return nil, &FieldError{Field: "Instances", Problem: "is followed by more content"}
	}
	if len(body.Instances) > instancesMax {
		return nil, &FieldError{Field: "Instances", Problem: fmt.Sprintf("has more than %d entries", instancesMax)}
	}
	out := make([]gypsumrail.Instance, 0, len(body.Instances))
	seen := make(map[string]bool, len(body.Instances))
	for i, e := range body.Instances {
		if seen[e.Name] {
			return nil, &FieldError{Field: fmt.Sprintf("Instances[%d]", i), Problem: "repeats a name"}
		}
		seen[e.Name] = true
		state := gypsumrail.Live
		if e.Leaving {
			state = gypsumrail.Leaving
		}
		instance := gypsumrail.Instance{
			Name: e.Name, Service: e.Service, Zone: e.Zone, Address: e.Address,
			Incarnation: gypsumrail.Incarnation(e.Incarnation), State: state,
			Slots: e.Slots, Cold: gypsumrail.Millis(e.Cold),
		}
		if err := CheckInstance(&instance); err != nil {
			return nil, fmt.Errorf("entry %d of Instances: %w", i, err)
		}
		out = append(out, instance)
	}
	return out, nil
}

// CheckInstance checks the lengths and ranges of an instance that the platform
// lists. The error is a *FieldError that names the first malformed field.
func CheckInstance(i *gypsumrail.Instance) error {
	for _, field := range [...]struct{ name, value string }{{"Name", i.Name}, {"Service", i.Service}, {"Zone", i.Zone}} {
		if !validName(field.value) {
			return &FieldError{Field: field.name, Problem: "is missing or malformed"}
		}
	}
	switch {
	case !ValidAddress(i.Address):
		return &FieldError{Field: "Address", Problem: "is not an IP address and port"}
	case i.Slots < 0 || i.Slots > slotsMax:
		return &FieldError{Field: "Slots", Problem: fmt.Sprintf("must be from 0 to %d", slotsMax)}
	case i.Cold < 0 || i.Cold > coldStartMax:
		return &FieldError{Field: "Cold", Problem: fmt.Sprintf("must be from 0 to %d ms", coldStartMax)}
	}
	return nil
}

// FormatInstances encodes an instance list for ParseInstances to read.
func FormatInstances(list []gypsumrail.Instance) ([]byte, error) {
	body := listBody{Instances: make([]listEntry, 0, len(list))}
	for _, i := range list {
		body.Instances = append(body.Instances, listEntry{
			Name: i.Name, Service: i.Service, Zone: i.Zone, Address: i.Address,
			Incarnation: uint64(i.Incarnation), Leaving: i.State == gypsumrail.Leaving,
			Slots: i.Slots, Cold: int64(i.Cold),
		})
	}
	content, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode the list of instances: %w", err)
	}
	return content, nil
}
