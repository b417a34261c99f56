package core

import (
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumrail/gypsumrail"
)

// list is the platform's list of instances: their states by name.
type list map[string]gypsumrail.State

func listOf(instances []gypsumrail.Instance) list {
	l := make(list, len(instances))
	for i := range instances {
		l[instances[i].Name] = instances[i].State
	}
	return l
}

// changesMax bounds the names of one kind of change in a log line.
const changesMax = 8

// changes tells which instances a later list adds, marks as leaving and no longer
// has, as fields of a log line.
func (l list) changes(instances []gypsumrail.Instance) string {
	var added, leaving, gone []string
	still := listOf(instances)
	for name, state := range still {
		before, known := l[name]
		switch {
		case !known:
			added = append(added, name)
		case state == gypsumrail.Leaving && before != state:
			leaving = append(leaving, name)
		}
	}
	for name := range l {
		if _, ok := still[name]; !ok {
			gone = append(gone, name)
		}
	}
	return names(" Added=", added) + names(" Leaving=", leaving) + names(" Gone=", gone)
}

// names returns a field with the first names in order and the number of the rest.
func names(field string, all []string) string {
	if len(all) == 0 {
		return ""
	}
	slices.Sort(all)
	rest := ""
	if more := len(all) - changesMax; more > 0 {
		all, rest = all[:changesMax], ",+"+strconv.Itoa(more)
	}
	return field + strings.Join(all, ",") + rest
}
