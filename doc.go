// Package gypsumrail defines the interfaces and the data types that the parts of
// the overload control layer share.
//
// One reducer (package core) makes the decisions of a node. It receives an Event
// and returns Effects, and the shell performs the effects. The reducer reads no
// clock, opens no socket and draws no random number: the time and the randomness
// come with the event. The same events therefore give the same effects, so a
// recorded trace can be replayed exactly.
//
// The exchangeable parts (limits, queues, routing, retry budgets, the ledger of
// non-repeatable requests, the directory of instances) implement the interfaces
// of this package. The packages below it hold the implementations, which can
// also be used on their own.
package gypsumrail
