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

// keysAtOnce is how many idempotency keys a client fetches ahead.
const keysAtOnce = 16

// caller makes user requests as the clients of one run do. It is safe for
// concurrent use.
type caller struct {
	entries []string // addresses, tried one after the other
	keyed   bool     // the entries are nodes, which issue keys
	http    *http.Client

	mu     sync.Mutex
	random *rand.Rand
	keys   map[string][]string // by class
}

func newCaller(entries []string, keyed bool) *caller {
	return &caller{
		entries: entries, keyed: keyed, http: newClient(), keys: make(map[string][]string),
		random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // back-off only
	}
}

// request makes one user request with its resends and reports whether it was
// answered whole before its deadline.
func (c *caller) request(ctx context.Context, number int, class clients, repeatable bool) bool {
	deadline := time.Now().Add(class.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	identity := requestOf(number)
	key := ""
	if c.keyed && !repeatable {
		var err error
		if key, err = c.key(ctx, number, class.class); err != nil {
			return false
		}
	}
	for attempt := range 1 + retries {
		wait, err := c.try(ctx, c.entries[(number+attempt)%len(c.entries)], identity, key, class, attempt+1, deadline)
		if err == nil {
			return true
		}
		if attempt == retries || !c.pause(ctx, max(wait, c.backoff(attempt))) {
			return false
		}
	}
	return false
}

// try makes one try. With an error it returns how long the answer asks to wait.
func (c *caller) try(ctx context.Context, entry, identity, key string, class clients, attempt int, deadline time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+class.class, http.NoBody)
	if err != nil {
		return 0, err
	}
	for name, value := range map[string]string{
		wire.HeaderService: entryService, wire.HeaderClass: class.class, wire.HeaderTenant: tenant, wire.HeaderRequest: identity,
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

func (c *caller) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(float64(backoff<<attempt) * (0.5 + c.random.Float64()))
}

// pause waits and reports whether the request still has time then.
func (c *caller) pause(ctx context.Context, wait time.Duration) bool {
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

// key returns an idempotency key that was fetched ahead, or fetches some.
func (c *caller) key(ctx context.Context, number int, class string) (string, error) {
	c.mu.Lock()
	if have := c.keys[class]; len(have) > 0 {
		key := have[len(have)-1]
		c.keys[class] = have[:len(have)-1]
		c.mu.Unlock()
		return key, nil
	}
	c.mu.Unlock()
	entry := c.entries[number%len(c.entries)]
	url := fmt.Sprintf("http://%s/tickets?Service=%s&Class=%s&Count=%d", entry, entryService, class, keysAtOnce)
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
		return "", fmt.Errorf("no keys: status %d", answer.StatusCode)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[class] = append(c.keys[class], fetched.Keys[1:]...)
	return fetched.Keys[0], nil
}
