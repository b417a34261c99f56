package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
	"github.com/gypsumrail/gypsumrail/internal/node/form"
)

// badAnswers are answers that a node refuses for their form. IDENTITY stands for that of the
// request, and PROOF for what proves that a target made the answer.
var badAnswers = []struct {
	fault  form.Fault
	answer string
}{
	{form.StatusLine, "HTTP/1.1 000 X\r\nPROOF\r\nContent-Length: 3\r\n\r\nbad"},
	{form.Interims, interims(1000) + "HTTP/1.1 200 OK\r\nPROOF\r\nContent-Length: 3\r\n\r\nbad"},
	{form.Head, "HTTP/1.1 200 OK\r\nPROOF\r\nno colon\r\nContent-Length: 3\r\n\r\nbad"},
	{form.Head, "HTTP/1.1 200 OK\r\nPROOF\r\nX-Long: " + strings.Repeat("x", 9000) + "\r\nContent-Length: 3\r\n\r\nbad"},
	{form.Head, "HTTP/1.1 200 OK\r\nPROOF\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nbad"},
	{form.Body, "HTTP/1.1 200 OK\r\nPROOF\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbad\r\n0\r\n\r\n"},
	{form.Body, "HTTP/1.1 200 OK\r\nPROOF\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbadbad\r\n0\r\n\r\n"},
	{form.Truncated, "HTTP/1.1 200 OK\r\nPROOF\r\nContent-Length: 4\r\n\r\nbad"},
	{form.Truncated, "HTTP/1.1 200 OK\r\nPROOF\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbad"},
	{form.Identity, strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Proof: p\r\nContent-Length: 3\r\n\r\nbad", 4)},
	{form.Proof, "HTTP/1.1 200 OK\r\nX-Id: IDENTITY\r\nContent-Length: 3\r\n\r\nbad"},
	{form.NodeHeader, "HTTP/1.1 200 OK\r\nX-Id: IDENTITY\r\nX-Proof: p\r\nGypsumrail-Answer: x\r\nContent-Length: 3\r\n\r\nbad"},
}

// writeBad writes a bad answer. The header of a node is added where there is a proof.
func writeBad(conn net.Conn, r *http.Request, answer, nodeHeader string) {
	answer = strings.ReplaceAll(answer, "PROOF", "X-Id: IDENTITY\r\nX-Proof: p\r\n"+nodeHeader+"Connection: close")
	fmt.Fprint(conn, strings.ReplaceAll(answer, "IDENTITY", r.Header.Get("X-Id")))
}

// Guards against an answer that is refused for its form and leaves no trace for the operator, on
// the hop to the target and on that between nodes.
func TestFaultsAreReported(t *testing.T) {
	next := make(chan string, 1)
	target := stubs.Raw(t, func(conn net.Conn, r *http.Request) { writeBad(conn, r, <-next, "") })
	peer := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
		if !isControl(r) {
			writeBad(conn, r, <-next, peerAnswer)
		}
	})
	for _, hop := range []struct {
		name, path, from string
		leaveOut         form.Fault // it does not apply to the hop
	}{{"target", "/own/1", "f", form.NodeHeader}, {"peer", "/once/1", "b0", form.Proof}} {
		t.Run(hop.name, func(t *testing.T) {
			entry, _ := startRaw(t, target, peer)
			counts := map[form.Fault]int{}
			for i, bad := range badAnswers {
				if bad.fault == hop.leaveOut {
					continue
				}
				id := fmt.Sprintf("%s-%d", hop.name, i)
				next <- bad.answer
				answer, body := sendRequest(t, entry, http.MethodPost, hop.path, id, "")
				if answer.StatusCode != http.StatusBadGateway {
					t.Errorf("%s: status %d, body %q, want 502", bad.fault, answer.StatusCode, body)
				}
				entry.awaitLog(t, "AnswerMalformed", "Subject="+id+" ", "Hop="+hop.name, "Fault="+string(bad.fault)+" ")
				counts[bad.fault]++
				want := fmt.Sprintf("gypsumrail_malformed_answers_total{hop=%q,fault=%q} %d\n", hop.name, string(bad.fault), counts[bad.fault])
				if got := metricLines(t, entry, "gypsumrail_malformed_answers_total"); !strings.Contains(got, want) {
					t.Errorf("metrics have no line %q, but\n%s", want, got)
				}
				if hop.name == "peer" { // a success ends the count of failures
					next <- "HTTP/1.1 200 OK\r\nPROOF\r\nContent-Length: 4\r\n\r\ngood"
					sendRequest(t, entry, http.MethodPost, hop.path, "good-"+id, "")
				}
			}
		})
	}
}

// faultyStore answers watches with something else than a response.
type faultyStore struct{ *store }

func (faultyStore) Changes(context.Context, string, uint64, time.Duration) (gypsumrail.Items, error) {
	return gypsumrail.Items{}, fmt.Errorf("%w: %w", gypsumrail.ErrStoreUnavailable, form.New(form.StatusLine, nil))
}

// Guards against the same for answers of the store.
func TestFaultsOfStoreAreReported(t *testing.T) {
	platform := newStore()
	platform.put("records", testRecords(1))
	front := newTarget(t, writeEcho)
	entry := startNode(t, "front", "front", front.listener.Addr().String(), faultyStore{platform})
	entry.awaitLog(t, "AnswerMalformed", "Hop=store", "Fault=StatusLine ")
	if got := metricLines(t, entry, `gypsumrail_malformed_answers_total{hop="store",fault="StatusLine"}`); got == "" {
		t.Errorf("the metrics do not count the answers of the store: %s", metricLines(t, entry, "gypsumrail_m"))
	}
}
