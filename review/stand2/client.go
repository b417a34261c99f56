package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{out: out, began: time.Now()}, err
}

func (l *record) put(kind, id, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f %-8s %-22s %s\n", time.Since(l.began).Seconds(), kind, id, fmt.Sprintf(format, values...))
}

func get(address, path string) (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// outcome is what a client saw of one request.
type outcome struct {
	id      string
	sent    time.Time // last byte of the request
	ended   time.Time
	status  int // 0: no head of an answer
	header  http.Header
	body    []byte
	whole   bool // the whole answer came
	last    bool // the node closes the connection after it
	problem error
}

// client is one client connection to a node.
type client struct {
	net.Conn
	reader *bufio.Reader
	log    *record
	host   string
}

func dial(log *record, address, host string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn), log, host}, nil
}

// send writes a request.
func (c *client) send(method, uri, id string, deadline time.Duration, extra, body string) (outcome, error) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, uri, c.host, id, deadline.Milliseconds(), extra)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	c.log.put("sent", id, "%s %s from %s", method, uri, c.LocalAddr())
	return outcome{id: id, sent: time.Now()}, err
}

// await reads the answer until a time.
func (c *client) await(o outcome, method string, until time.Time) outcome {
	_ = c.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		o.status, o.header, o.last = response.StatusCode, response.Header, response.Close
		o.body, err = io.ReadAll(response.Body)
	}
	o.ended, o.problem, o.whole = time.Now(), err, err == nil
	if err != nil {
		c.log.put("lost", o.id, "after %d ms: status %d, %d bytes of body, then %v", o.ended.Sub(o.sent).Milliseconds(), o.status, len(o.body), err)
	} else {
		c.log.put("answer", o.id, "after %d ms: status %d, %d bytes of body%s", o.ended.Sub(o.sent).Milliseconds(), o.status, len(o.body), own(response))
	}
	return o
}

func own(r *http.Response) string {
	if r.Header.Get("Server-Signature") == "" {
		return ", of the node itself"
	}
	return ""
}

// isTimeout reports whether a client stopped waiting by itself.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
