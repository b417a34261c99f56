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

// clockTick is the unit of times in /proc/PID/stat. It is the same on all Linux
// systems that Go supports.
const clockTick = 10 * time.Millisecond

// processorTime returns the processor time that a node process has used, user
// and system.
func (n *node) processorTime(t testing.TB) time.Duration {
	t.Helper()
	text := n.procFile(t, "stat")
	// The program name, in parentheses, may contain spaces.
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	if errUser != nil || errSystem != nil {
		t.Fatalf("fields 14 and 15 of /proc/PID/stat are not numbers: %q", text)
	}
	return time.Duration(user+system) * clockTick
}

// resident returns the resident memory of a node process in bytes.
func (n *node) resident(t testing.TB) float64 {
	t.Helper()
	return 1024 * field(t, n.procFile(t, "status"), "VmRSS:")
}

// transferred returns the bytes that a node process has read and written. For an
// idle node, these are its sockets, a few log lines and the wake-ups of the
// runtime's network poller, which write and read 8 bytes each. The result is
// therefore higher than the control traffic, although it lacks the TCP and IP
// headers. /proc/net counts the headers, but not by process.
func (n *node) transferred(t testing.TB) float64 {
	t.Helper()
	text := n.procFile(t, "io")
	return field(t, text, "rchar:") + field(t, text, "wchar:")
}

// procFile returns the content of /proc/PID/name.
func (n *node) procFile(t testing.TB, name string) string {
	t.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", n.process.Process.Pid, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// metrics returns the sum of the values of all metrics whose name begins with
// name.
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
			t.Fatalf("value in line %q: %v", line, err)
		}
		sum, found = sum+value, true
	}
	if !found {
		t.Fatalf("no line begins with %s", prefix)
	}
	return sum
}
