package record

import "github.com/gypsumrail/gypsumrail"

// Schema versions. Version 1 has the basic fields. Version 2 adds those whose
// entry in the tables below says so; a version 1 record takes their defaults.
const (
	schemaMin = 1
	// SchemaMax is the highest schema version that this package knows.
	SchemaMax = 2
)

// Kinds of records.
const (
	kindService = "Service"
	kindTarget  = "Target"
	kindClass   = "Class"
	kindTenant  = "Tenant"
)

// headerNames are the fields that all kinds and all schema versions share.
var headerNames = []string{"SchemaVersion", "Kind", "Name"}

// Defaults of the fields that version 2 added. LateIsWorthless is false and
// AnswerBytes is 0, which means that the size is not known.
const (
	DefaultAllowance = 3                      // retries of one user request
	DefaultColdStart = 10 * gypsumrail.Second // the slow start of routing
	DefaultZoneDelay = gypsumrail.Millis(1)   // between zones of one region
)

// Default of the one optional basic field that is not empty by itself.
const defaultProtocol = "http/1.1"

// Upper ends of ranges.
const (
	slotsMax = 1 << 16
	connsMax = 1 << 20
	// A drain ends after the longest deadline of any class and at the latest
	// after 30 s, so a longer deadline would let a shutdown interrupt a call.
	deadlineMax    = 30 * gypsumrail.Second
	coldStartMax   = 10 * gypsumrail.Minute
	zoneDelayMax   = gypsumrail.Second
	allowanceMax   = 16
	answerBytesMax = 1 << 30
)

var serviceFields = []field[gypsumrail.Service]{
	{"Dependencies", 1, false, names(0, func(s *gypsumrail.Service, v []string) { s.Dependencies = v })},
	{"Protocol", 1, false, oneOf([]string{defaultProtocol}, func(s *gypsumrail.Service, v string) { s.Protocol = v })},
	{"SlotsMax", 1, true, whole(1, slotsMax, func(s *gypsumrail.Service, v int64) { s.SlotsMax = int(v) })},
	{"ConnsMax", 1, true, whole(1, connsMax, func(s *gypsumrail.Service, v int64) { s.ConnsMax = int(v) })},
	{"ColdStartMillis", 2, false, whole(0, int64(coldStartMax), func(s *gypsumrail.Service, v int64) { s.ColdStart = gypsumrail.Millis(v) })},
	{"ZoneDelayMillis", 2, false, whole(0, int64(zoneDelayMax), func(s *gypsumrail.Service, v int64) { s.ZoneDelay = gypsumrail.Millis(v) })},
}

var targetFields = []field[gypsumrail.Target]{
	{"Service", 1, true, name(func(t *gypsumrail.Target, v string) { t.Service = v })},
	{"Zone", 1, true, name(func(t *gypsumrail.Target, v string) { t.Zone = v })},
	{"Capabilities", 1, false, names(0, func(t *gypsumrail.Target, v []string) { t.Capabilities = v })},
	{"Slots", 1, true, whole(1, slotsMax, func(t *gypsumrail.Target, v int64) { t.Slots = int(v) })},
	{"Conns", 1, true, whole(1, connsMax, func(t *gypsumrail.Target, v int64) { t.Conns = int(v) })},
}

var classFields = []field[gypsumrail.Class]{
	{"Importance", 1, true, whole(int64(gypsumrail.ImportanceMin), int64(gypsumrail.ImportanceMax),
		func(c *gypsumrail.Class, v int64) { c.Importance = gypsumrail.Importance(v) })},
	{"DeadlineMillis", 1, true, whole(1, int64(deadlineMax), func(c *gypsumrail.Class, v int64) { c.Deadline = gypsumrail.Millis(v) })},
	{"Repeatable", 1, true, truth(func(c *gypsumrail.Class, v bool) { c.Repeatable = v })},
	{"Service", 1, true, name(func(c *gypsumrail.Class, v string) { c.Service = v })},
	{"Uses", 1, true, names(1, func(c *gypsumrail.Class, v []string) { c.Uses = v })},
	{"Capabilities", 1, false, namesByService(func(c *gypsumrail.Class, v map[string][]string) { c.Capabilities = v })},
	{"LateIsWorthless", 2, false, truth(func(c *gypsumrail.Class, v bool) { c.LateIsWorthless = v })},
	{"AnswerBytes", 2, false, whole(0, answerBytesMax, func(c *gypsumrail.Class, v int64) { c.AnswerBytes = v })},
	{"Allowance", 2, false, whole(0, allowanceMax, func(c *gypsumrail.Class, v int64) { c.Allowance = int(v) })},
}

var tenantFields = []field[gypsumrail.Tenant]{
	{"Share", 1, false, share(func(t *gypsumrail.Tenant, v float64) { t.Share = v })},
}
