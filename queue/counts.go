package queue

import "github.com/gypsumrail/gypsumrail"

// levelCounts counts the queued calls by level in a Fenwick tree, so that the
// number of calls at or above a level is known without a scan of the queue.
type levelCounts [gypsumrail.LevelMax + 1]int32

func (c *levelCounts) add(level gypsumrail.Level, n int32) {
	for i := int(level) + 1; i < len(c); i += i & -i {
		c[i] += n
	}
}

// below returns the number of calls below the level.
func (c *levelCounts) below(level gypsumrail.Level) int {
	sum := int32(0)
	for i := int(level); i > 0; i -= i & -i {
		sum += c[i]
	}
	return int(sum)
}

func clampLevel(level gypsumrail.Level) gypsumrail.Level {
	return min(max(level, 0), gypsumrail.LevelMax-1)
}

// tenantCounts counts the queued calls of each tenant within one importance. It
// has at most one entry per queued call.
type tenantCounts struct {
	total     int
	byTenant  map[string]int
	candidate string // tenant that most recently held a majority after one of its calls was added
}

func (c *tenantCounts) add(tenant string) {
	c.total++
	n := c.byTenant[tenant] + 1
	c.byTenant[tenant] = n
	if 2*n > c.total {
		c.candidate = tenant
	}
}

func (c *tenantCounts) remove(tenant string) {
	c.total--
	if n := c.byTenant[tenant]; n > 1 {
		c.byTenant[tenant] = n - 1
	} else {
		delete(c.byTenant, tenant)
	}
}

// majority returns the tenant that holds more than half of the calls, if there
// are at least two calls. A tenant that reaches a majority only because calls of
// others left is detected when its next call is added.
func (c *tenantCounts) majority() (string, bool) {
	return c.candidate, c.total > 1 && 2*c.byTenant[c.candidate] > c.total
}
