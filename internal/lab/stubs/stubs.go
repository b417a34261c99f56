// Package stubs holds stand-ins for what surrounds a node: the platform that
// publishes values, a target, and the network between them.
//
// They speak the published protocols over real loopback sockets and fail on
// request, so that tests and the demo can show what a node does when its
// surroundings misbehave. Each counts what it saw, so that an observer can
// compare what ran with what callers were told.
package stubs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds how long a stand-in waits for the headers of a request.
const headerTimeout = 10 * time.Second

// listen opens a loopback port; an empty address takes a free one.
func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return l, nil
}

func serve(l net.Listener, handler http.Handler) *http.Server {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.Serve(l) }()
	return s
}
