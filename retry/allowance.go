// Package retry bounds retries.
//
// Retries at each hop of a call chain multiply: three retries at each of five
// hops are up to 4^5 attempts at the deepest service for one user request, at the
// moment when that service is overloaded. Three mechanisms bound them:
//
//   - Allowance bounds the retries of one user request over the whole call graph.
//     The entry node holds it and delegates portions of it downstream. A portion
//     is subtracted before the attempt is sent, and only the answer returns what
//     is left of it. Crashes and lost answers can therefore lower the number of
//     retries but never raise it.
//   - Budget limits the retries into one service to a share of its successes.
//     Otherwise many user requests, each within its allowance, could together
//     overload a failing service with retries.
//   - Backoff spreads the remaining retries over time.
package retry

// Allowance is the number of retries that one node may still make or delegate for
// one user request. The zero value allows none. An Allowance is not safe for
// concurrent use.
type Allowance struct {
	left int
}

// Portion is the part of an allowance that one attempt carries to its receiver. It
// belongs to the attempt, so that an answer can return only what its own attempt
// received. The zero value is an empty portion.
type Portion struct {
	size int
}

// NewAllowance returns an allowance of the given number of retries. The entry node
// takes the number from the request class, other nodes from the call that they
// receive. Negative numbers count as zero.
func NewAllowance(retries int) Allowance { return Allowance{left: max(retries, 0)} }

// AtEntry returns the allowance of a user request at its entry node. Only the
// client's first attempt, numbered 1, gets the allowance of the class. A resend is
// already a retry, and an allowance for each resend would multiply the bound.
func AtEntry(classRetries, attempt int) Allowance {
	if attempt > 1 {
		return Allowance{}
	}
	return NewAllowance(classRetries)
}

// Left returns the retries that are left, without the delegated ones.
func (a Allowance) Left() int { return a.left }

// Spend subtracts one retry. It returns false if none is left.
func (a *Allowance) Spend() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Grant subtracts and returns the portion for one attempt. It is half of what is
// left, rounded up, if the receiver has dependencies whose calls it may have to
// retry, and otherwise empty. The portion counts as spent until Return.
func (a *Allowance) Grant(hasDependencies bool) Portion {
	if !hasDependencies {
		return Portion{}
	}
	size := a.left - a.left/2
	a.left -= size
	return Portion{size: size}
}

// Return adds the retries that the answer of an attempt reports as unused, and
// empties the portion, so that a second answer adds nothing. A number outside the
// portion cannot be true. It counts as zero, because clamping it to the portion
// could return retries that were made. A number within the portion is trusted: a
// receiver that reports retries as unused although it made them cannot be detected
// here.
func (a *Allowance) Return(portion *Portion, unused int) {
	if unused > 0 && unused <= portion.size {
		a.left += unused
	}
	portion.size = 0
}

// Size returns the number of retries that the attempt carries.
func (p Portion) Size() int { return p.size }
