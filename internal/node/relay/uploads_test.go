package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/lab/stubs"
)

// requestBytesMax is the longest body that the records of the users' deployments allow.
const requestBytesMax = 64 << 20

// startLarge is startRaw without a peer, with records that allow the longest bodies.
func startLarge(t *testing.T, target string) *sidecar {
	t.Helper()
	entry, platform := startRaw(t, target, "")
	records := testRecords(2)
	records.Limits.BodyBytes = requestBytesMax
	platform.put("records", records)
	time.Sleep(300 * time.Millisecond) // until they are in force
	return entry
}

// zeros is a body of n bytes that takes no memory.
func zeros(n int64) io.Reader { return io.LimitReader(zeroReader{}, n) }

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// sendBody sends a request with a body, in chunks if the length is negative, and returns the
// status, or 0 if there was no answer.
func sendBody(t *testing.T, s *sidecar, id string, body io.Reader, length int64) int {
	t.Helper()
	r := newRequest(t, s, http.MethodPost, "/own/upload", id, "")
	r.Header.Set("X-Left", longWait)
	r.Body, r.ContentLength, r.GetBody = io.NopCloser(body), length, nil
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// Guards against a process that is killed because requests and answers fill its memory together:
// the long uploads of one client beside answers that do not end.
func TestUploadsBesideEndlessAnswers(t *testing.T) {
	const uploadBytes, uploads, clients = 40 << 20, 8, 40
	more := bytes.Repeat([]byte("0123456789abcdef"), 4<<10)
	target := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/own/upload" {
			n, _ := io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, proofHead+"X-Read: %d\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"), n)
			return
		}
		_, err := fmt.Fprintf(conn, proofHead+"\r\n", r.Header.Get("X-Id"))
		for err == nil {
			_, err = conn.Write(more)
		}
	})
	entry := startLarge(t, target)
	// As the command sets it for a process of this memory.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryMax * 3 / 4))
	runtime.GC()
	var stop atomic.Bool
	var served atomic.Int32
	var work sync.WaitGroup
	for i := range clients {
		work.Go(func() {
			for n := 0; !stop.Load(); n++ {
				r := newRequest(t, entry, http.MethodGet, "/own/endless", fmt.Sprintf("e%d-%d", i, n), "")
				if answer, err := http.DefaultClient.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range uploads {
			// The load may shed an upload.
			switch status := sendBody(t, entry, fmt.Sprintf("u%d", i), zeros(uploadBytes), uploadBytes); {
			case status == http.StatusOK:
				served.Add(1)
			case !promisesNotRun(status):
				t.Errorf("an upload was answered %d", status)
			}
		}
	}()
	peak := uint64(0)
	for waiting := true; waiting; {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.Sys-m.HeapReleased)
		select {
		case <-done:
			waiting = false
		case <-time.After(5 * time.Millisecond):
		}
	}
	stop.Store(true)
	work.Wait()
	if served.Load() == 0 {
		t.Error("no upload was served")
	}
	t.Logf("at most %d MiB", peak>>20)
	if peak > memoryMax {
		t.Errorf("%d MiB, want at most %d", peak>>20, memoryMax>>20)
	}
}

// Guards against short uploads in chunks that are refused because each counts as the longest.
func TestShortUploadsInChunks(t *testing.T) {
	const uploads, uploadBytes = 40, 1000
	target := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(conn, proofHead+"Connection: close\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	})
	entry := startLarge(t, target)
	begun := make(chan struct{}, uploads)
	finish := make(chan struct{})
	var work sync.WaitGroup
	for i := range uploads {
		reader, writer := io.Pipe()
		work.Go(func() {
			if status := sendBody(t, entry, fmt.Sprintf("c%d", i), reader, -1); status != http.StatusOK {
				t.Errorf("an upload was answered %d", status)
			}
			_ = reader.Close()
		})
		go func() {
			_, _ = writer.Write(make([]byte, uploadBytes/2))
			begun <- struct{}{}
			<-finish
			_, _ = writer.Write(make([]byte, uploadBytes/2))
			_ = writer.Close()
		}()
	}
	for range uploads {
		<-begun
	}
	close(finish)
	work.Wait()
}

// Guards against a bound on uploads that lets all of them fail, that answers with more than a
// refusal, or that keeps memory after they have ended.
func TestUploadsAboveTheBound(t *testing.T) {
	const uploads, uploadBytes = 8, 20 << 20 // more than the memory for requests, together
	for _, inChunks := range []bool{false, true} {
		t.Run(fmt.Sprintf("in chunks %v", inChunks), func(t *testing.T) {
			var ran sync.Map
			target := stubs.Raw(t, func(conn net.Conn, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				ran.Store(r.Header.Get("X-Id"), n)
				fmt.Fprintf(conn, proofHead+"Connection: close\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
			})
			entry := startLarge(t, target)
			statuses := make([]int, uploads)
			var work sync.WaitGroup
			for i := range uploads {
				work.Go(func() {
					length := int64(uploadBytes)
					if inChunks {
						length = -1
					}
					statuses[i] = sendBody(t, entry, fmt.Sprintf("u%d", i), zeros(uploadBytes), length)
				})
			}
			work.Wait()
			served := 0
			for i, status := range statuses {
				n, hasRun := ran.Load(fmt.Sprintf("u%d", i))
				switch {
				case status == http.StatusOK && n == int64(uploadBytes):
					served++
				case status == http.StatusServiceUnavailable && !hasRun:
				case status == 0 && !hasRun: // the client was still writing when the connection was closed
				default:
					t.Errorf("upload %d: status %d, and the target read %v bytes", i, status, n)
				}
			}
			if served == 0 {
				t.Errorf("no upload was served: %v", statuses)
			}
			const nothing = "gypsumrail_request_bytes{state=\"reading\"} 0\ngypsumrail_request_bytes{state=\"ready\"} 0\n"
			held := metricLines(t, entry, "gypsumrail_request_bytes{")
			for n := 0; n < 200 && held != nothing; n++ {
				time.Sleep(10 * time.Millisecond)
				held = metricLines(t, entry, "gypsumrail_request_bytes{")
			}
			if held != nothing {
				t.Errorf("after the last request the node still holds\n%s", held)
			}
		})
	}
}

// Guards against a caller that is told nothing about a request that has not run: the node beside
// the target has no memory for its body, and that of the caller must learn that it did not run.
func TestUploadTooLongForPeer(t *testing.T) {
	const uploadBytes = 40 << 20 // more than requests may take beside a target of 64 MB
	for _, inChunks := range []bool{false, true} {
		t.Run(fmt.Sprintf("in chunks %v", inChunks), func(t *testing.T) {
			front, back := newTarget(t, writeEcho), newTarget(t, writeEcho)
			entry, platform := startRaw(t, front.listener.Addr().String(), "")
			records := testRecords(2)
			records.Limits.BodyBytes = requestBytesMax
			platform.put("records", records)
			node := startNodeOf(t, 64_000_000, "b0", "back", back.listener.Addr().String(), platform)
			platform.put("instances/b0", gypsumrail.Instance{Name: "b0", Service: "back", Zone: "z", Address: node.ports.Peers, State: gypsumrail.Live, Slots: 4})
			node.awaitReady(t)
			time.Sleep(300 * time.Millisecond) // until the list has it
			status, body, err := upload(t, entry, "id", make([]byte, uploadBytes), inChunks)
			if status != http.StatusServiceUnavailable || err != nil || back.ran("id") {
				t.Errorf("status %d %q, %v, ran %t, want 503 and no run", status, body, err, back.ran("id"))
			}
			if lines := entry.log.lines("AnswerMalformed"); len(lines) > 0 {
				t.Errorf("the refusal counts as malformed: %q", lines)
			}
		})
	}
}
