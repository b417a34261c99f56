// Package trial runs a small deployment of complete nodes under faults and
// compares what targets ran with what callers were told.
//
// The guarantees of the design page are statements about a whole deployment, so
// they are checked from outside: no part of a node is asked whether it kept
// them. Nodes run in this process on loopback ports, targets and the platform
// are stand-ins, and every connection of a node to another node, to its target
// and to the platform can be disturbed.
package trial
