// Package fair measures how much of its rate limit each client account uses at one
// entry node.
//
// The usage orders the requests of one importance for shedding; see
// gypsumrail.LevelAt. Accounts that sent few requests to this node of late are not
// judged by their own count alone, because the count of a small account is mostly
// noise: at 640 nodes an account of 100 requests a second sends each of them one
// request in 6 s. Their usage is a mean of their own and that of all such accounts,
// weighted by the number of requests counted.
package fair

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gypsumrail/gypsumrail"
)

const (
	// countersMax bounds the accounts that are counted one by one.
	countersMax = 512
	// accountsMax bounds the accounts whose weight is kept. Accounts beyond it have
	// the mean weight.
	accountsMax = 16384
	// bucketTime is the length of a bucket. Counts cover the present bucket and the
	// bucketsMax-1 before it, so 1 to 1.125 s.
	bucketTime = gypsumrail.Second / (bucketsMax - 1)
	bucketsMax = 9
	// countTime is the least time that the counts cover.
	countTime = (bucketsMax - 1) * bucketTime
	// activeTime is the time since its last request for which an account counts as
	// active. It is far longer than bucketTime, because most accounts send a node less
	// than one request in a bucket.
	activeTime = 30 * gypsumrail.Second
	// heavyCount is the count from which an account is left out of the aggregate, so
	// that the surge of one account does not raise the usage of the others.
	// The standard error of a count of 16 is a quarter.
	heavyCount = 16
	// priorCount is the weight of the aggregate in the usage of an account, in requests.
	// In the pattern of TestSurgeCostsOthersLittle with a surge of 10 and uneven clients,
	// the other accounts lost 10.0 % with 0.01, 4.7 % with 2, 3.2 % with 4 and 4.1 % with 8
	// (means of seeds 0 to 2).
	priorCount = 4
	// aloneCount is the count from which the aggregate has no weight any more. The
	// standard error of a count of 64 is an eighth. If the weight stayed, an account at 20
	// times its limit would appear at 10 times beside accounts that use 0.4 of theirs.
	aloneCount = 64
	// startUse is the usage of all accounts in the first second, in which there is no
	// aggregate yet.
	startUse = 1
	// restUseMin bounds the aggregate from below. It is a divisor, and without a bound
	// accounts would need many requests to show their usage beside idle ones.
	restUseMin = 0.05
	// aggregateEvery is the time between two computations of the aggregate, which
	// read all counters.
	aggregateEvery = 100 * gypsumrail.Millis(1)
	noTime         = gypsumrail.Millis(-1)
)

// Usage counts the requests of accounts at one node. It implements
// gypsumrail.AccountUsage and is not safe for concurrent use.
type Usage struct {
	weights    map[string]*weight
	ordered    []*weight // by name; sums of floating-point numbers depend on the order
	meanRate   float64
	counters   []counter // at most countersMax
	byName     map[string]int
	total      buckets // requests of all accounts
	began      gypsumrail.Millis
	bucket     gypsumrail.Millis // start of the present bucket
	activeRate float64           // sum of the rates of the active accounts
	restUse    float64
	computed   gypsumrail.Millis // time of restUse
	instances  int               // of restUse
}

// weight is the entitlement of one account of the records.
type weight struct {
	rate float64
	seen gypsumrail.Millis // last request; noTime if none
}

// counter is a space-saving counter of one account. When it passes to another
// account, its counts stay and become the error, so that an account which sends more
// than 1/countersMax of all requests keeps its counter.
type counter struct {
	account string
	rate    float64
	counts  buckets
	errors  buckets // the part of counts that belongs to earlier accounts
	rank    float64 // sum of counts
	counted float64 // requests of the account itself: sum of counts without errors
}

// buckets holds counts of requests, those of the present bucket first.
type buckets [bucketsMax]float64

func (b *buckets) sum() float64 {
	total := 0.0
	for _, n := range b {
		total += n
	}
	return total
}

// advance drops the oldest buckets.
func (b *buckets) advance(passed int) {
	passed = min(passed, bucketsMax)
	copy(b[passed:], b[:bucketsMax-passed])
	clear(b[:passed])
}

var _ gypsumrail.AccountUsage = (*Usage)(nil)

// New returns a Usage without counts and accounts.
func New() *Usage {
	return &Usage{
		weights: make(map[string]*weight), meanRate: 1, byName: make(map[string]int),
		began: noTime, computed: noTime,
	}
}

// SetAccounts replaces the accounts. Counts stay, so that a new version of the records
// does not interrupt fairness.
func (u *Usage) SetAccounts(accounts map[string]*gypsumrail.Account) {
	names := slices.Sorted(maps.Keys(accounts))
	u.meanRate = meanRate(names, accounts)
	names = names[:min(len(names), accountsMax)]
	weights := make(map[string]*weight, len(names))
	u.ordered = u.ordered[:0]
	for _, name := range names {
		w := &weight{rate: u.meanRate, seen: noTime}
		if account := accounts[name]; account != nil && account.Rate > 0 {
			w.rate = account.Rate
		}
		if former := u.weights[name]; former != nil {
			w.seen = former.seen
		}
		weights[name] = w
		u.ordered = append(u.ordered, w)
	}
	u.weights = weights
	for i := range u.counters {
		u.counters[i].rate = u.rate(u.counters[i].account)
	}
	u.sumActive(u.bucket)
	u.computed = noTime
}

func (u *Usage) rate(account string) float64 {
	if w := u.weights[account]; w != nil {
		return w.rate
	}
	return u.meanRate
}

// Arrived returns the usage of an account before its request at this node, and counts
// the request.
func (u *Usage) Arrived(now gypsumrail.Millis, account string, instances int) float64 {
	u.advance(now)
	u.refresh(now, instances)
	use := u.use(now, account, instances)
	if w := u.weights[account]; w != nil {
		if w.seen == noTime || now-w.seen > activeTime {
			u.activeRate += w.rate
		}
		w.seen = now
	}
	u.total[0]++
	c := &u.counters[u.counterOf(account)]
	c.counts[0]++
	c.rank++
	c.counted++
	return use
}

// Highest returns the accounts with the highest usage, at most limit. It changes
// nothing, so that replays, which show no status, give the same levels.
func (u *Usage) Highest(now gypsumrail.Millis, instances, limit int) []gypsumrail.AccountUse {
	if u.began == noTime || now-u.bucket >= countTime {
		return nil
	}
	all := make([]gypsumrail.AccountUse, 0, len(u.counters))
	for i := range u.counters {
		if c := &u.counters[i]; c.counted > 0 {
			all = append(all, gypsumrail.AccountUse{Account: c.account, Use: u.use(now, c.account, instances), Requests: int(c.counted)})
		}
	}
	slices.SortFunc(all, func(a, b gypsumrail.AccountUse) int {
		return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Account, b.Account))
	})
	return all[:min(len(all), limit)]
}

// use returns the usage of an account at this node, in units of its rate limit.
func (u *Usage) use(now gypsumrail.Millis, account string, instances int) float64 {
	counted := 0.0
	if i, ok := u.byName[account]; ok {
		counted = u.counters[i].counted
	}
	expected := u.rate(account) * u.window(now) / float64(max(instances, 1))
	prior := priorCount * max(0, 1-counted/aloneCount)
	return (counted + prior) / (expected + prior/u.restUse)
}

// window returns the seconds that the counts cover.
func (u *Usage) window(now gypsumrail.Millis) float64 {
	if u.began == noTime || now-u.began < countTime {
		return float64(countTime) / float64(gypsumrail.Second)
	}
	return float64(min(countTime+now-u.bucket, now-u.began)) / float64(gypsumrail.Second)
}

// refresh computes the usage of all active accounts together, except the heavy ones, if
// it is out of date.
func (u *Usage) refresh(now gypsumrail.Millis, instances int) {
	if u.computed != noTime && now-u.computed < aggregateEvery && u.instances == instances {
		return
	}
	u.computed, u.instances, u.restUse = now, instances, startUse
	if now-u.began < countTime {
		return
	}
	demand, rate := u.total.sum(), u.activeRate
	for i := range u.counters {
		if c := &u.counters[i]; c.counted >= heavyCount {
			demand -= c.counted
			rate -= c.rate
		}
	}
	if expected := rate * u.window(now) / float64(max(instances, 1)); expected > 0 {
		u.restUse = max(restUseMin, demand/expected)
	}
}

// advance ends the present bucket when its time is over.
func (u *Usage) advance(now gypsumrail.Millis) {
	if u.began == noTime {
		u.began, u.bucket = now, now
		return
	}
	passed := (now - u.bucket) / bucketTime
	if passed <= 0 {
		return
	}
	u.bucket += passed * bucketTime
	u.total.advance(int(passed))
	kept := u.counters[:0]
	clear(u.byName)
	for i := range u.counters {
		c := &u.counters[i]
		c.counts.advance(int(passed))
		c.errors.advance(int(passed))
		c.rank = c.counts.sum()
		c.counted = c.rank - c.errors.sum()
		if c.rank > 0 {
			u.byName[c.account] = len(kept)
			kept = append(kept, *c)
		}
	}
	u.counters = kept
	u.sumActive(now)
	u.computed = noTime
}

// sumActive computes the sum of the rates of the active accounts.
func (u *Usage) sumActive(now gypsumrail.Millis) {
	u.activeRate = 0
	for _, w := range u.ordered {
		if w.seen != noTime && now-w.seen <= activeTime {
			u.activeRate += w.rate
		}
	}
}

// counterOf returns the index of the counter of an account. If all are taken, it takes
// the one with the smallest counts.
func (u *Usage) counterOf(account string) int {
	if i, ok := u.byName[account]; ok {
		return i
	}
	if len(u.counters) < countersMax {
		u.byName[account] = len(u.counters)
		u.counters = append(u.counters, counter{account: account, rate: u.rate(account)})
		return len(u.counters) - 1
	}
	least := 0
	for i := range u.counters {
		if u.counters[i].rank < u.counters[least].rank {
			least = i
		}
	}
	c := &u.counters[least]
	delete(u.byName, c.account)
	c.account, c.rate, c.errors, c.counted = account, u.rate(account), c.counts, 0
	u.byName[account] = least
	return least
}

// meanRate returns the mean of the rates that the accounts have, or 1 if none has one.
func meanRate(names []string, accounts map[string]*gypsumrail.Account) float64 {
	total, limited := 0.0, 0
	for _, name := range names {
		if account := accounts[name]; account != nil && account.Rate > 0 {
			total += account.Rate
			limited++
		}
	}
	if limited == 0 {
		return 1
	}
	return total / float64(limited)
}
