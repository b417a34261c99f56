package relay_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
)

// metric returns the value of a metric of a node without labels, as text.
func metric(t *testing.T, s *sidecar, name string) string {
	t.Helper()
	return strings.TrimSpace(strings.TrimPrefix(metricLines(t, s, name+" "), name))
}

// Guards against delegations that do not reach the broker over the control port, and
// against messages before an account has a limit.
func TestDelegations(t *testing.T) {
	entry, _, platform := deployment(t, writeEcho, writeEcho)
	if got := metric(t, entry, "gypsumrail_grant_asked_total"); got != "0" {
		t.Errorf("%s messages to brokers without a limit, want 0", got)
	}
	platform.put("instances/x", gypsumrail.Instance{Name: "x", Service: "front", Zone: "z", Address: "127.0.0.1:1", State: gypsumrail.Leaving})
	records := testRecords(2)
	records.Accounts["shop"] = &gypsumrail.Account{Name: "shop", Rate: 10, Burst: 10}
	platform.put("records", records)
	// The zone has one broker, which holds the shares of three nodes, a quarter each. All
	// messages of the other nodes get replies.
	var asked, unreplied int
	var shares string
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		asked, _ = strconv.Atoi(metric(t, entry, "gypsumrail_grant_asked_total"))
		unreplied, _ = strconv.Atoi(metric(t, entry, "gypsumrail_grant_unreplied_total"))
		if shares = metric(t, entry, "gypsumrail_grant_shares"); shares == "0.75" || asked >= 5 && unreplied == 0 {
			return
		}
	}
	t.Errorf("after 10 s the node sent %d messages to brokers, %d without a reply, and holds the shares %s", asked, unreplied, shares)
}
