// Package retry bounds retries.
//
// Retries at each hop of a call chain multiply: three retries at each of five
// hops are up to 4^5 runs of the deepest service for one user request, at the
// moment when that service is overloaded. Three means bound them:
//
//   - Allowance is the number of retries of one user request over the whole call
//     graph. The entry node holds it and delegates parts of it downstream. A part
//     is taken off before the call is sent and only comes back with the answer,
//     so crashes and lost answers can lower the number of retries but never
//     raise it.
//   - Budget limits the retries into one service to a share of its successes, so
//     that many user requests together do not load a failing service with
//     retries that each of them may still make.
//   - Backoff spreads the retries that remain over time.
package retry

// Allowance is the number of retries that one node may still make or delegate
// for one user request. The zero value allows none. It is not safe for
// concurrent use.
type Allowance struct {
	left int
}

// Portion is the part of an allowance that one forwarded call carries. It
// belongs to the attempt, so that an answer can give back only what its own
// attempt received. The zero value is an empty portion.
type Portion struct {
	size int
}

// NewAllowance returns an allowance of the given number of retries: that of the
// class at the entry node, or the one that a forwarded call carries. Negative
// numbers count as zero.
func NewAllowance(retries int) Allowance { return Allowance{left: max(retries, 0)} }

// AtEntry returns the allowance of a request that enters the call graph. Only
// the caller's first attempt, numbered 1, gets the allowance of the class. A
// resend already is a retry; with an allowance of its own each resend would
// multiply the bound.
func AtEntry(class, attempt int) Allowance {
	if attempt > 1 {
		return Allowance{}
	}
	return NewAllowance(class)
}

// Left returns the retries that are left here, without the delegated ones.
func (a Allowance) Left() int { return a.left }

// Spend takes one retry and reports whether there was one.
func (a *Allowance) Spend() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Grant takes off the portion for one forwarded call: half of what is left,
// rounded up, if the callee has dependencies that it may have to retry, else
// nothing. The portion counts as spent until Return.
func (a *Allowance) Grant(hasDependencies bool) Portion {
	if !hasDependencies {
		return Portion{}
	}
	size := a.left - a.left/2
	a.left -= size
	return Portion{size: size}
}

// Return adds what the answer of an attempt says is unused of its portion, and
// empties the portion, so that a second answer adds nothing. A number outside
// the portion is not one that the callee can have left; it counts as nothing
// returned, because limiting it to the portion could give back retries that
// were made. A number inside the portion is taken as stated: a callee that
// makes retries and reports them as unused cannot be detected here.
func (a *Allowance) Return(portion *Portion, unused int) {
	if unused > 0 && unused <= portion.size {
		a.left += unused
	}
	portion.size = 0
}

// Size returns the retries of the portion, as the forwarded call states them.
func (p Portion) Size() int { return p.size }
