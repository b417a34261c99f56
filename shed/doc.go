// Package shed decides which calls a node refuses before any work is done.
//
// A queue alone cannot protect a deep call graph: a request that is refused at
// its fifth hop has already cost four services their work. Threshold therefore
// works at both ends of a call. The receiver keeps a threshold level and
// refuses lower levels. Every answer carries the threshold, so the sender
// refuses the next such calls itself, at best in the node at which the user
// request enters.
//
// Every 100 ms the receiver compares the standing delay of its queue with a
// target. Above the target it estimates how many calls left the node in the
// window and raises the threshold until a histogram of the offered levels says
// that no more than these are admitted, less what is needed to empty the queue.
// Below half of the target it admits a little more in each window; once the
// queue is empty it admits much more, in growing steps. Between the two the
// threshold stays, so that it does not follow the noise of single windows. (The
// choice by histogram is from DAGOR, the hints from Rajomon.)
//
// Senders that know the threshold stop sending lower levels, so the receiver no
// longer sees them. The histogram keeps what it saw below the threshold for
// several seconds; otherwise the first small step down would look harmless and
// admit all of them at once.
//
// What a sender knows about other services lives for one second, so a service
// that recovered or went silent gets calls again without a message. It is kept
// for at most 64 services with 64 upstreams each; the entry that was updated
// least recently makes room for a new one.
//
// None never refuses and serves as the baseline.
package shed
