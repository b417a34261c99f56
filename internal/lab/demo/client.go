package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

// keyBatch is the number of idempotency keys that a client fetches at once.
const keyBatch = 16

// caller sends user requests in place of the clients of one run. It is safe for
// concurrent use.
type caller struct {
	entries      []string // addresses; a retry goes to the next one
	throughNodes bool     // the entries are nodes, which issue idempotency keys
	http         *http.Client

	mu     sync.Mutex
	random *rand.Rand
	keys   map[string][]string // idempotency keys not used yet, by class
}

func newCaller(entries []string, throughNodes bool) *caller {
	return &caller{
		entries: entries, throughNodes: throughNodes, http: newClient(), keys: make(map[string][]string),
		random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // jitter only
	}
}

// request sends one user request, with retries, and reports whether a complete
// answer arrived before its deadline.
func (c *caller) request(ctx context.Context, number int, class clientClass, repeatable bool) bool {
	deadline := time.Now().Add(class.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	identity := requestID(number)
	key := ""
	if c.throughNodes && !repeatable {
		var err error
		if key, err = c.key(ctx, number, class.class); err != nil {
			return false
		}
	}
	for attempt := range 1 + retriesMax {
		wait, err := c.send(ctx, c.entries[(number+attempt)%len(c.entries)], identity, key, class, attempt+1, deadline)
		if err == nil {
			return true
		}
		if attempt == retriesMax || !c.sleep(ctx, max(wait, c.backoff(attempt))) {
			return false
		}
	}
	return false
}

// send makes one attempt. If it fails, send also returns the wait that the
// Retry-After header of the answer asks for, or 0.
func (c *caller) send(ctx context.Context, entry, identity, key string, class clientClass, attempt int, deadline time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+class.class, http.NoBody)
	if err != nil {
		return 0, err
	}
	for name, value := range map[string]string{
		wire.HeaderService: entryService, wire.HeaderClass: class.class, wire.HeaderAccount: account, wire.HeaderRequest: identity,
		wire.HeaderAttempt: strconv.Itoa(attempt), wire.HeaderKey: key,
		wire.HeaderRemaining: strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10),
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close() //nolint:errcheck // nothing was written
	if answer.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, answer.Body)
		seconds, _ := strconv.Atoi(answer.Header.Get("Retry-After"))
		return time.Duration(seconds) * time.Second, fmt.Errorf("status %d", answer.StatusCode)
	}
	return 0, stubs.CheckBody(answer.Body, identity)
}

// backoff returns the wait after the given attempt, counted from 0.
func (c *caller) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(float64(initialBackoff<<attempt) * (0.5 + c.random.Float64()))
}

// sleep waits and returns true. If the deadline of ctx falls within the wait, it
// returns false at once; if ctx is canceled, it returns false then.
func (c *caller) sleep(ctx context.Context, wait time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// key returns an idempotency key for the class. If none is left, it fetches
// keyBatch keys from a node.
func (c *caller) key(ctx context.Context, number int, class string) (string, error) {
	c.mu.Lock()
	if cached := c.keys[class]; len(cached) > 0 {
		key := cached[len(cached)-1]
		c.keys[class] = cached[:len(cached)-1]
		c.mu.Unlock()
		return key, nil
	}
	c.mu.Unlock()
	entry := c.entries[number%len(c.entries)]
	url := fmt.Sprintf("http://%s/tickets?Service=%s&Class=%s&Count=%d", entry, entryService, class, keyBatch)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return "", err
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close() //nolint:errcheck // nothing was written
	var fetched struct{ Keys []string }
	if err := json.NewDecoder(answer.Body).Decode(&fetched); err != nil || len(fetched.Keys) == 0 {
		return "", fmt.Errorf("no idempotency keys in the answer: status %d", answer.StatusCode)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[class] = append(c.keys[class], fetched.Keys[1:]...)
	return fetched.Keys[0], nil
}
