package gypsumrail

// GrantAsk is the message of a node to a broker. It delegates the node's share of all
// rate limits and asks for tokens.
type GrantAsk struct {
	From        string
	Incarnation Incarnation
	Sequence    uint64
	Parts       int           `json:",omitempty"` // the share is one part in this number; 0 delegates none
	Broker      Incarnation   `json:",omitempty"` // of the broker in its last reply; 0 if there is none
	Echo        uint64        `json:",omitempty"` // clock of the broker in its last reply
	Demands     []GrantDemand `json:",omitempty"`
}

// GrantDemand is what a node needs of one client account.
type GrantDemand struct {
	Account string `json:"Tenant"`
	Wanted  int
}

// GrantReply is the reply of a broker to a GrantAsk.
type GrantReply struct {
	Incarnation Incarnation
	Clock       uint64  // of the broker, in milliseconds
	Sequence    uint64  // of the GrantAsk
	Grants      []Grant `json:",omitempty"`
}

// Grant is what a broker grants of one client account.
type Grant struct {
	Account string `json:"Tenant"`
	Tokens  int    `json:",omitempty"`
	Wait    Millis `json:",omitempty"` // until there are tokens, if none were granted
}

// GrantSend is a message to a broker on another node.
type GrantSend struct {
	To  Instance
	Ask *GrantAsk
}

// Grants enforces the rate limits of client accounts over all nodes. A node delegates its
// share of the limits to a broker, which may be the node itself, and gets tokens from it.
// One request takes one token. It is not safe for concurrent use.
type Grants interface {
	// SetLimits sets the accounts of the records in force.
	SetLimits(now Millis, accounts map[string]*Account)
	// SetInstances sets the instances of the platform's list, in all zones and states.
	SetInstances(now Millis, self Instance, listed []Instance)
	// Limited reports whether requests of an account need a token.
	Limited(account string) bool
	// Count records that a request of a limited account arrived.
	Count(now Millis, account string)
	// Take takes a token and returns the time at which it becomes invalid. It returns false
	// if there is none.
	Take(now Millis, account string) (expires Millis, ok bool)
	// Return gives back the token of a request that did not run.
	Return(now Millis, account string, expires Millis)
	// Await records that a request waits for a token. It returns false if the request
	// must not wait, because no token can come in time or too many requests wait.
	Await(now Millis, account string) bool
	// Leave records that a request does not wait any more.
	Leave(account string)
	// Refusal returns why there is no token, OverLimit or NoGrant, and after which time there
	// may be one.
	Refusal(now Millis, account string) (Reason, Millis)
	// Due returns the messages to send now. It is called at each tick and after Await. The
	// node's messages to itself are handled in the call.
	Due(now Millis) []GrantSend
	// Answer handles the message of a node and returns the reply of this broker.
	Answer(now Millis, ask *GrantAsk) GrantReply
	// Replied handles the reply of a broker. A reply with a sequence number only means that
	// the broker did not reply to that message.
	Replied(now Millis, broker string, reply GrantReply)
	// Broker returns the name of the broker that this node asks; empty if no account has a
	// limit or no broker is known.
	Broker() string
	// Status returns the state for operators.
	Status() GrantStatus
}

// GrantStatus describes the state of a Grants.
type GrantStatus struct {
	Broker    string  `json:",omitempty"` // that holds this node's share; empty if none does
	Parts     int     `json:",omitempty"` // this node owns one part in this number of each limit
	Delegated int     `json:",omitempty"` // nodes that delegate to this one, itself included
	Shares    float64 `json:",omitempty"` // sum of the shares that they delegate
	Waiting   int     `json:",omitempty"` // requests that wait for a token
	Asked     uint64  // messages sent to brokers on other nodes
	Unreplied uint64  // of these, messages without a reply in time
	Answered  uint64  // messages of other nodes answered
	Granted   uint64  // tokens that this broker granted
	Taken     uint64  // tokens that requests of this node took
	Expired   uint64  // tokens of this node that no request took in time
}
