package record

import "github.com/gypsumrail/gypsumrail"

// Schema versions. Version 1 has the basic fields. Version 2 adds those with a 2
// in the tables below; a version 1 record gets their defaults.
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
	kindAccount = "Tenant"
)

// headerNames are the fields that all kinds and all schema versions share.
var headerNames = []string{"SchemaVersion", "Kind", "Name"}

// Defaults of the fields that version 2 added. The other two are LateIsWorthless,
// false by default, and AnswerBytes, 0 by default, which means unknown.
const (
	DefaultAllowance = 3                      // retries of one user request
	DefaultColdStart = 10 * gypsumrail.Second // duration of the slow start in routing
	DefaultZoneDelay = gypsumrail.Millis(1)   // one-way delay between zones of one region
)

// Default of Protocol, the only optional field of version 1 whose default is not
// the zero value.
const defaultProtocol = "http/1.1"

// Highest accepted values.
const (
	slotsMax = 1 << 16
	connsMax = 1 << 20
	// A drain lasts as long as the longest deadline of any class, but at most
	// 30 s. With a longer deadline, a shutdown could interrupt a call.
	deadlineMax    = 30 * gypsumrail.Second
	coldStartMax   = 10 * gypsumrail.Minute
	zoneDelayMax   = gypsumrail.Second
	allowanceMax   = 16
	answerBytesMax = 1 << 30
)

var serviceFields = []field[gypsumrail.Service]{
	{"Dependencies", 1, false, namesField(0, func(s *gypsumrail.Service, v []string) { s.Dependencies = v })},
	{"Protocol", 1, false, wordField([]string{defaultProtocol}, func(s *gypsumrail.Service, v string) { s.Protocol = v })},
	{"SlotsMax", 1, true, wholeField(1, slotsMax, func(s *gypsumrail.Service, v int64) { s.SlotsMax = int(v) })},
	{"ConnsMax", 1, true, wholeField(1, connsMax, func(s *gypsumrail.Service, v int64) { s.ConnsMax = int(v) })},
	{"ColdStartMillis", 2, false, wholeField(0, int64(coldStartMax), func(s *gypsumrail.Service, v int64) { s.ColdStart = gypsumrail.Millis(v) })},
	{"ZoneDelayMillis", 2, false, wholeField(0, int64(zoneDelayMax), func(s *gypsumrail.Service, v int64) { s.ZoneDelay = gypsumrail.Millis(v) })},
}

var targetFields = []field[gypsumrail.Target]{
	{"Service", 1, true, nameField(func(t *gypsumrail.Target, v string) { t.Service = v })},
	{"Zone", 1, true, nameField(func(t *gypsumrail.Target, v string) { t.Zone = v })},
	{"Capabilities", 1, false, namesField(0, func(t *gypsumrail.Target, v []string) { t.Capabilities = v })},
	{"Slots", 1, true, wholeField(1, slotsMax, func(t *gypsumrail.Target, v int64) { t.Slots = int(v) })},
	{"Conns", 1, true, wholeField(1, connsMax, func(t *gypsumrail.Target, v int64) { t.Conns = int(v) })},
}

var classFields = []field[gypsumrail.Class]{
	{"Importance", 1, true, wholeField(int64(gypsumrail.ImportanceMin), int64(gypsumrail.ImportanceMax),
		func(c *gypsumrail.Class, v int64) { c.Importance = gypsumrail.Importance(v) })},
	{"DeadlineMillis", 1, true, wholeField(1, int64(deadlineMax), func(c *gypsumrail.Class, v int64) { c.Deadline = gypsumrail.Millis(v) })},
	{"Repeatable", 1, true, boolField(func(c *gypsumrail.Class, v bool) { c.Repeatable = v })},
	{"Service", 1, true, nameField(func(c *gypsumrail.Class, v string) { c.Service = v })},
	{"Uses", 1, true, namesField(1, func(c *gypsumrail.Class, v []string) { c.Uses = v })},
	{"Capabilities", 1, false, namesByServiceField(func(c *gypsumrail.Class, v map[string][]string) { c.Capabilities = v })},
	{"LateIsWorthless", 2, false, boolField(func(c *gypsumrail.Class, v bool) { c.LateIsWorthless = v })},
	{"AnswerBytes", 2, false, wholeField(0, answerBytesMax, func(c *gypsumrail.Class, v int64) { c.AnswerBytes = v })},
	{"Allowance", 2, false, wholeField(0, allowanceMax, func(c *gypsumrail.Class, v int64) { c.Allowance = int(v) })},
}

var accountFields = []field[gypsumrail.Account]{
	{"Share", 1, false, shareField(func(t *gypsumrail.Account, v float64) { t.Share = v })},
}
