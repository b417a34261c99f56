// Package gypsumrail holds the interfaces and the plain data that the parts of
// the overload control layer share.
//
// The decisions of a node are made by one reducer (package core) that takes an
// Event and returns Effects. Neither reads a clock, opens a socket or draws a
// random number: the time and the randomness arrive with the event, and the
// shell performs the effects. The same events therefore give the same effects,
// which is what lets a recorded trace be replayed exactly.
//
// Behavior that varies (limits, queues, routing, budgets, the ledger of
// non-repeatable requests, the directory of instances) stands behind the
// interfaces of this package. Implementations are in the packages below it and
// can be used on their own.
package gypsumrail
