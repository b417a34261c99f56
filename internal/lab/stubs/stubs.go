// Package stubs provides stubs of what surrounds a node: the platform that
// publishes values, a target, and a relay for the network between them.
//
// They speak the published protocols over real loopback sockets and inject faults
// on request, so that tests and the demo can show how a node behaves under them.
// Platform and Target count the calls that they get, so that a test can compare
// what ran with what callers were told. Relay counts connections.
package stubs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds how long a stub waits for the headers of a request.
const headerTimeout = 10 * time.Second

// listen listens on an IP address and port; empty means a free loopback port.
func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stub: %w", err)
	}
	return l, nil
}

func serve(l net.Listener, handler http.Handler) *http.Server {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.Serve(l) }()
	return s
}
