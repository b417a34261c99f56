// Package spawn builds the program and finds free ports for tests that run it as a
// separate process.
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

// Build builds the program for a test and returns its path. The test's package must
// be two levels below internal/, since the path of the source is relative.
func Build(t testing.TB) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gypsumrail")
	command := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../../../cmd/gypsumrail")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	return program
}

// Port counts up from a random port, at least firstPort and below
// firstPort+portRange, so that concurrent test processes rarely try the same ports.
// All are below 32768, where the ports of outgoing connections begin by default.
const (
	firstPort = 10000
	portRange = 10000
)

var (
	mu       sync.Mutex
	lastPort = firstPort + rand.IntN(portRange) //nolint:gosec // not a secret
)

// Port returns a loopback address with a free port that this process did not
// return before.
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
	t.Fatal("no free port found in 1000 tries")
	return ""
}
