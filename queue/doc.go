// Package queue implements the admission queue of a node. It holds the calls
// that were admitted and wait for a slot of the target.
//
// Under overload the order of the queue decides which work completes. Priority
// orders calls by:
//
//  1. importance, the highest first;
//  2. work invested in their user request, the most first, because that work is
//     lost if the call fails;
//  3. level, a hash of the user request and the usage of its account, so that the
//     queues of all hops prefer the same user requests;
//  4. arrival, the oldest first.
//
// In a standing queue, calls run so late that their callers are about to time
// out. The queue therefore measures the standing delay: the age of the oldest
// queued call at each departure. In a FIFO queue this equals the delay of the
// departing call. In a priority queue that delay would be misleading, because
// important or new calls leave without delay however long the others wait. While
// the smallest standing delay of the last 100 ms is above 20 ms, each importance
// runs its newest call first.
//
// Importance is strict: a call runs only when no more important call waits. The
// queue empties once the target has free capacity, so no call starves forever.
// Calls that cannot wait that long are removed by Expire. Accounts compete only
// within one importance. If the queue is full and one account holds more than
// half of the calls of the lowest queued importance, a call of that account is
// evicted. An account that floods the queue therefore cannot evict the calls of
// others. Where the level reflects how much of its rate limit an account uses, the
// lowest level decides instead.
//
// Push, Remove, Expire and Pop from level 0 take O(log n) per call and allocate
// nothing once the queue has reached its usual length. FIFO is a plain bounded
// queue for comparison.
package queue
