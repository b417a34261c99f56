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

// accountCounts counts the queued calls of each account within one importance. It
// has at most one entry per queued call.
type accountCounts struct {
	total     int
	byAccount map[string]int
	candidate string // account that most recently held a majority after one of its calls was added
}

func (c *accountCounts) add(account string) {
	c.total++
	n := c.byAccount[account] + 1
	c.byAccount[account] = n
	if 2*n > c.total {
		c.candidate = account
	}
}

func (c *accountCounts) remove(account string) {
	c.total--
	if n := c.byAccount[account]; n > 1 {
		c.byAccount[account] = n - 1
	} else {
		delete(c.byAccount, account)
	}
}

// majority returns the account that holds more than half of the calls, if there
// are at least two calls. An account that reaches a majority only because calls of
// others left is detected when its next call is added.
func (c *accountCounts) majority() (string, bool) {
	return c.candidate, c.total > 1 && 2*c.byAccount[c.candidate] > c.total
}
