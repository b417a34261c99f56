package core

import (
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

// instanceStates holds the platform's instance list: the state of each instance
// by name.
type instanceStates map[string]gypsumrail.State

// statesOf returns the states of the instances of a list.
func statesOf(instances []gypsumrail.Instance) instanceStates {
	l := make(instanceStates, len(instances))
	for i := range instances {
		l[instances[i].Name] = instances[i].State
	}
	return l
}

// changeNamesMax bounds the instance names of one kind of change in a log line.
const changeNamesMax = 8

// changes returns the fields of a log line that name the instances which a newer
// list adds (Added), marks as leaving (Leaving) and no longer contains (Gone).
func (l instanceStates) changes(instances []gypsumrail.Instance) string {
	var added, leaving, gone []string
	current := statesOf(instances)
	for name, state := range current {
		before, known := l[name]
		switch {
		case !known:
			added = append(added, name)
		case state == gypsumrail.Leaving && before != state:
			leaving = append(leaving, name)
		}
	}
	for name := range l {
		if _, ok := current[name]; !ok {
			gone = append(gone, name)
		}
	}
	return changeField(" Added=", added) + changeField(" Leaving=", leaving) + changeField(" Gone=", gone)
}

// changeField returns a field with the first changeNamesMax names in
// alphabetical order and the number of the others, or "" if there are no names.
func changeField(field string, all []string) string {
	if len(all) == 0 {
		return ""
	}
	slices.Sort(all)
	rest := ""
	if more := len(all) - changeNamesMax; more > 0 {
		all, rest = all[:changeNamesMax], ",+"+strconv.Itoa(more)
	}
	return field + strings.Join(all, ",") + rest
}
