// Package admin is a client of a node's admin port. It also defines the status
// document, which the node writes and the operator tools read.
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
	"github.com/gypsumrail/gypsumrail/internal/node/quota"
)

// statusMax is the maximum size of a status in bytes. One upstream takes about
// 150 bytes, so the 640 upstreams of a fleet of the target size take 100 KB.
const statusMax = 4 << 20

// ErrNotNode means that the answer from the port is not one that a node sends.
var ErrNotNode = errors.New("not the answer of a node")

// Node is the part of a status that describes the reducer: what it holds in force
// and the state behind its decisions.
type Node struct {
	core.Status
	SchemaMax int                          // highest schema version of records that the node reads
	Plain     bool                         `json:",omitempty"` // the node serves plain requests
	Refusals  map[gypsumrail.Reason]uint64 // calls since the start that ended without an answer of a target
}

// Shell is the part of a status that describes the process around the reducer.
type Shell struct {
	Calls          int // calls in progress
	Answers        int // answers kept to be sent again if their request is resent
	Ready          bool
	Watching       bool   // the node watches the platform; for plain requests, its last read of it succeeded
	Source         string `json:",omitempty"` // for plain requests: the peer whose copy of the platform's store the node reads; empty for the store itself
	LinesDropped   uint64 // log events dropped because the log was written too slowly
	EventsDropped  uint64 // lines of /events that were not delivered, mostly to slow readers
	RecordsInForce gypsumrail.Revision
	AnswerMemory   *quota.Usage `json:",omitempty"` // for plain requests: the memory of the answers that the node holds
	RequestMemory  *quota.Usage `json:",omitempty"` // and of the requests
}

// Status is the JSON document that /status returns.
type Status struct {
	Node  Node
	Shell Shell
}

// Client reads the admin port of one node. It is safe for concurrent use.
type Client struct {
	address string
	http    http.Client
}

// NewClient returns a client for an admin port, given as "IP:port".
func NewClient(address string) *Client { return &Client{address: address} }

// Status reads /status. The error wraps ErrNotNode if the answer is not that of
// a node.
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
		return nil, fmt.Errorf("status of %s: %w: %w", c.address, ErrNotNode, err)
	}
	if status.Node.Self.Name == "" {
		return nil, fmt.Errorf("status of %s: %w: it names no instance", c.address, ErrNotNode)
	}
	return &status, nil
}

// Events reads /events and calls handle for each event. It returns nil when
// handle returns false, the node ends the stream or ctx ends.
func (c *Client) Events(ctx context.Context, handle func(*gypsumrail.Event) bool) error {
	body, err := c.get(ctx, "/events")
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	defer body.Close() //nolint:errcheck // nothing was written
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), trace.LineBytesMax)
	for lines.Scan() {
		// A new event each time, because handle may keep it.
		event := new(gypsumrail.Event)
		if err := json.Unmarshal(lines.Bytes(), event); err != nil {
			return fmt.Errorf("events of %s: %w: %w", c.address, ErrNotNode, err)
		}
		if !handle(event) {
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
		return nil, fmt.Errorf("node at %s: %s: %w: %s", c.address, path, ErrNotNode, answer.Status)
	}
	return answer.Body, nil
}
