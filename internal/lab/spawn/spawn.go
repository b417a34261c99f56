// Package spawn builds the program and finds ports for tests that run it as
// processes of their own.
package spawn

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// Build builds the program once for a test, from the folder of a package two
// levels below internal/, and returns its path.
func Build(t testing.TB) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gypsumrail")
	command := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../../../cmd/gypsumrail")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	return program
}

// Ports are given out from a random one between firstPort and firstPort+spread,
// so that test processes that run at once rarely meet. All are below 32768, where
// the ports of outgoing connections begin by default.
const (
	firstPort = 10000
	spread    = 10000
)

var (
	mu       sync.Mutex
	lastPort = firstPort + rand.IntN(spread) //nolint:gosec // not a secret
)

// Port returns a free loopback address that was not given out before.
func Port(t testing.TB) string {
	t.Helper()
	mu.Lock()
	defer mu.Unlock()
	for range 1000 {
		lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", lastPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
