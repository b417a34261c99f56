// Package admin reads the operators' port of a node.
//
// It exists apart from the subcommands so that the node that serves a status
// and the tools that read one share its form.
package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/core"
	"github.com/gypsumrail/gypsumrail/internal/lab/trace"
)

// statusMax bounds a status in bytes. One upstream takes about 150 bytes, so the
// 640 upstreams of the target size take 100 KB.
const statusMax = 4 << 20

// ErrAnswer means that the port answered something else than a node does.
var ErrAnswer = errors.New("not the answer of a node")

// Node is the part of a status that tells of the decisions.
type Node struct {
	core.Status
	SchemaMax int                          // highest schema version of records that the node knows
	Plain     bool                         `json:",omitempty"` // the node serves plain requests
	Refusals  map[gypsumrail.Reason]uint64 // calls that ended without an answer of a target, since the start
}

// Shell is the part of a status that tells of the node's surroundings.
type Shell struct {
	Calls          int // held now
	Answers        int // kept for resends
	Ready          bool
	Watching       bool
	LinesDropped   uint64 // log events
	EventsDropped  uint64 // events that readers of the event stream missed
	RecordsInForce gypsumrail.Revision
}

// Status is the answer of /status.
type Status struct {
	Node  Node
	Shell Shell
}

// Client reads the operators' port of one node. It is safe for concurrent use.
type Client struct {
	address string
	http    http.Client
}

// NewClient returns a client for an IP address and port.
func NewClient(address string) *Client { return &Client{address: address} }

// Status reads what the node holds in force and why.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	body, err := c.get(ctx, "/status")
	if err != nil {
		return nil, err
	}
	defer body.Close() //nolint:errcheck // nothing was written
	var status Status
	content, err := io.ReadAll(io.LimitReader(body, statusMax))
	if err != nil {
		return nil, fmt.Errorf("status of %s: %w", c.address, err)
	}
	if err := json.Unmarshal(content, &status); err != nil {
		return nil, fmt.Errorf("status of %s: %w: %w", c.address, ErrAnswer, err)
	}
	if status.Node.Self.Name == "" {
		return nil, fmt.Errorf("status of %s: %w: it names no instance", c.address, ErrAnswer)
	}
	return &status, nil
}

// Events reads the stream of events and gives each to take, until take returns
// false, the node ends the stream or ctx ends, none of which is an error.
func (c *Client) Events(ctx context.Context, take func(*gypsumrail.Event) bool) error {
	body, err := c.get(ctx, "/events")
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	defer body.Close() //nolint:errcheck // nothing was written
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), trace.MaxLineBytes)
	for lines.Scan() {
		// Each event is new, because take may keep it.
		event := new(gypsumrail.Event)
		if err := json.Unmarshal(lines.Bytes(), event); err != nil {
			return fmt.Errorf("events of %s: %w: %w", c.address, ErrAnswer, err)
		}
		if !take(event) {
			return nil
		}
	}
	if err := lines.Err(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("events of %s: %w", c.address, err)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("node at %s: %w", c.address, err)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("node at %s: %w", c.address, err)
	}
	if answer.StatusCode != http.StatusOK {
		_ = answer.Body.Close()
		return nil, fmt.Errorf("node at %s: %s: %w: %s", c.address, path, ErrAnswer, answer.Status)
	}
	return answer.Body, nil
}
