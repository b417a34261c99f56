// Package shed decides which calls a node sheds before any work is done for them.
//
// A queue alone cannot protect a deep call graph: if a call is shed at the fifth
// hop, four services have already worked for that user request. The shedders
// therefore act in both roles of a node. The receiver keeps a threshold level and
// refuses calls below it. Every answer carries the threshold, so that senders
// refuse such calls themselves, at best in the entry node of the user request.
//
// Threshold compares the standing delay of the receiver's queue with a target
// delay every 100 ms:
//
//   - Above the target delay it estimates how many calls left the node in the window,
//     and subtracts what is needed to empty the queue. It raises the threshold
//     until, by a histogram of the offered levels, no more calls than that are
//     admitted.
//   - Between half of the target delay and all of it the threshold stays. This
//     hysteresis keeps it from following the noise of single windows.
//   - At or below half of the target delay it admits slightly more calls per window.
//   - While the queue is empty it admits many more calls, in growing steps.
//
// The choice by histogram is from DAGOR, the hints are from Rajomon.
//
// Senders that know the threshold stop sending lower levels, so the receiver no
// longer sees that demand. The histogram therefore remembers the demand below
// the threshold for several seconds. Without it the first small step down would
// admit all of these calls at once.
//
// A sender uses the threshold of another service for one second. After that it
// sends calls again, so a service that recovered or stopped answering needs no
// message. At most 64 services with 64 upstreams each are stored; a new entry
// replaces the least recently updated one.
//
// Backlog is an alternative for services deep in the call graph. None never
// refuses and is the baseline.
package shed
