package gypsumrail

// Records is one validated revision of the operator's configuration, in a form
// that does not depend on its schema versions. It does not change once it is
// built, so it is safe for concurrent use.
type Records struct {
	Revision Revision
	Services map[string]*Service
	Targets  map[string]*Target
	Classes  map[string]*Class
	Accounts map[string]*Account `json:"Tenants"`
	Limits   Limits              // for plain clients; zero fields stand for the defaults
	Faults   []string            // definitions that are in force only in part or not at all, with the reasons
	// KeysRequired is set if each request of a client must carry a key of an account,
	// except those of anonymous classes.
	KeysRequired bool                         `json:",omitempty"`
	Keys         map[KeyDigest]string         `json:"-"` // names of accounts by the digests of their API keys
	Routes       map[string]map[string]*Class `json:"-"` // by host and prefix, built by IndexRoutes
}

// KeyDigest is the SHA-256 digest of an API key. Keys are secrets, so the records hold
// only their digests.
type KeyDigest [32]byte

// Limits bounds what a plain client may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  Millis // from the first byte of a head to its last
	IdleTime    Millis // of a keep-alive connection without a request
}

// Service describes one service of the call graph.
type Service struct {
	Name         string
	Dependencies []string // services that its targets call
	Protocol     string   // "http/1.1"
	SlotsMax     int      // ceiling of concurrent calls of one target
	ConnsMax     int      // ceiling of connections to one target
	ColdStart    Millis   // duration of the slow start, in which a cold target reaches its full share
	ZoneDelay    Millis   // one-way delay between availability zones, for routing to other zones
}

// Target describes the capacity and the capabilities of one target. Its name is
// the name of the instance.
type Target struct {
	Name         string
	Service      string
	Zone         string
	Capabilities []string
	Slots        int // calls that it can run at once
	Conns        int // connections that it accepts
}

// Class describes one kind of request.
type Class struct {
	Name            string
	Importance      Importance
	Deadline        Millis // for a request that states no remaining time
	Repeatable      bool
	Capabilities    map[string][]string // that a target needs to serve the class, by service
	Service         string              // entry service
	Uses            []string            // services that a request of the class touches, the entry service included
	LateIsWorthless bool                // an answer after the deadline has no value
	AnswerBytes     int64               // expected size of the answer
	Allowance       int                 // retries of one user request over the whole chain
	Unkeyed         bool                // not repeatable and without idempotency keys: a call that may have run is not resent
	AttemptsMax     int                 // most sends for one attempt of the caller; 0: limited by Allowance only
	Timeout         Millis              // longest wait of one attempt of the caller; 0 for no limit
	Objective       Millis              // latency up to which an answer has its full value; 0 if unknown
	Anonymous       bool                `json:",omitempty"` // its requests need no key; see Records.KeysRequired
	Route           Route               // selects the plain requests of the class
	Split           []Part              // services that share the calls; empty if Service gets all
	Invalid         bool                // its definition is not usable: its calls are refused as NotRun; see Records.Faults
}

// Route selects plain requests, which are unmodified HTTP/1.1 requests without a
// stated class, by host and path.
type Route struct {
	Host   string
	Prefix string // begins and ends with a slash; the longest matching one applies
}

// Part is one service's share of the calls of a class.
type Part struct {
	Service string
	Weight  int // relative to the weights of the other parts, at least 0
}

// Account is a client account: a customer of the operator whose requests are told apart.
type Account struct {
	Name  string
	Share float64 // of a target's slots under overload, from 0 to 1; 0 means no limit. Checked, but not enforced yet
	// Importance takes the place of the importance of the class if HasImportance is set.
	Importance    Importance `json:",omitempty"`
	HasImportance bool       `json:",omitempty"`
	Rate          float64    `json:",omitempty"` // requests a second that all nodes together let pass; 0 means no limit
	Burst         float64    `json:",omitempty"` // requests that may pass at once beyond Rate, at all nodes together
}
