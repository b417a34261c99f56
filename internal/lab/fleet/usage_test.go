//go:build linux

package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clockTick is the unit of the times in /proc/PID/stat, which is the same on
// all Linux systems that Go supports.
const clockTick = 10 * time.Millisecond

// processorTime returns what a node process has spent, user and system.
func (n *node) processorTime(t testing.TB) time.Duration {
	t.Helper()
	text := n.procFile(t, "stat")
	// The name of the program, in parentheses, may have blanks.
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	if errUser != nil || errSystem != nil {
		t.Fatalf("/proc/PID/stat has %q", text)
	}
	return time.Duration(user+system) * clockTick
}

// resident returns the resident memory in bytes.
func (n *node) resident(t testing.TB) float64 {
	t.Helper()
	return 1024 * field(t, n.procFile(t, "status"), "VmRSS:")
}

// transferred returns the bytes that a node process has read and written. An
// idle node reads and writes sockets, a few log lines and its own wake-ups: each
// time the runtime wakes its network poller it writes and reads 8 bytes. So this
// is above the control traffic, though without the headers of TCP and IP.
// /proc/net counts those but does not tell processes apart.
func (n *node) transferred(t testing.TB) float64 {
	t.Helper()
	text := n.procFile(t, "io")
	return field(t, text, "rchar:") + field(t, text, "wchar:")
}

func (n *node) procFile(t testing.TB, name string) string {
	t.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", n.process.Process.Pid, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// metrics returns the sum of the values of all lines that begin with a name.
func (n *node) metrics(t testing.TB, name string) float64 {
	t.Helper()
	content, err := get(n.ports.Admin, "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	return field(t, string(content), name)
}

// field returns the sum of the values of all lines that begin with a prefix.
func field(t testing.TB, text, prefix string) float64 {
	t.Helper()
	sum, found := 0.0, false
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if !strings.HasPrefix(line, prefix) || len(fields) < 2 {
			continue
		}
		value, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		sum, found = sum+value, true
	}
	if !found {
		t.Fatalf("no line begins with %s", prefix)
	}
	return sum
}
