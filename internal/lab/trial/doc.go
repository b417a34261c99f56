// Package trial runs a small deployment of complete nodes under faults and
// compares what targets ran with what callers were told.
//
// The promises P1 to P10 of the design page are statements about a whole
// deployment, so they are checked from outside, by comparing what targets
// recorded with what clients received. No node is asked whether it kept them;
// only P8 and P9 also use the status of the nodes. Nodes run in this process on
// loopback ports. Targets and the platform are stubs. Every connection of a node
// to another node, to its target and to the platform passes a relay that can
// delay, silence or close it.
package trial
