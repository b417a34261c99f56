// Package queue holds the admission queue of a node: the calls that were
// admitted and wait for a slot of the target.
//
// Under overload the order of the queue decides which work completes. Priority
// runs the most important call first. Within one importance it prefers calls
// with more work already invested in their user request, because that work is
// lost if the call fails, then a hash of the user request, so that the queues
// of all hops prefer the same requests, then the order of arrival.
//
// A queue that stays long serves callers that are about to leave. The queue
// therefore watches the standing delay: at each departure, the age of the
// oldest call in the queue. In arrival order that is the delay of the departing
// call itself. The delay of the departing call alone would be misleading here,
// because important or new calls leave without delay however long the others
// wait. While the smallest standing delay of the last 100 ms is above 20 ms,
// each importance runs its newest call first.
//
// Importance is strict: a call runs only when no more important one waits. Once
// the target has room the queue empties, so nothing waits for ever; calls that
// cannot wait that long are removed by Expire. Tenants compete within one
// importance only. When the queue is full and one tenant holds more than half
// of the calls of the least importance, that tenant loses a call, so a tenant
// that floods the queue cannot push out the calls of the others.
//
// Push, Pop, Remove and Expire take O(log n) per call and allocate nothing once
// the queue has reached its usual length. FIFO is a plain bounded queue for
// comparison.
package queue
