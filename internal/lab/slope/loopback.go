package slope

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// loopback is a server and a client of the control protocol between nodes,
// joined by a loopback connection. It counts the bytes in both directions, HTTP
// headers included.
type loopback struct {
	server *http.Server
	client *peer.Client
	pool   *http.Transport
	addr   string
	bytes  atomic.Int64
}

// countingConn adds the bytes that are read and written to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fixedHandler is a peer.Handler that answers each exchange and each pull with
// the same message.
type fixedHandler struct {
	answer  gypsumrail.Exchange
	content []byte
	version gypsumrail.ValueVersion
}

func (h *fixedHandler) Exchange(context.Context, gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	return h.answer, nil
}

func (h *fixedHandler) Pull(context.Context, gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error) {
	return h.version, h.content, nil
}

func (h *fixedHandler) Resolve(context.Context, string, gypsumrail.HomeAttempt) (peer.Resolution, error) {
	return peer.Resolution{}, nil
}

func (h *fixedHandler) Grant(context.Context, gypsumrail.GrantAsk) (gypsumrail.GrantReply, error) {
	return gypsumrail.GrantReply{}, nil
}

func newLoopback(handler peer.Handler) *loopback {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l := &loopback{addr: listener.Addr().String(), server: &http.Server{Handler: peer.NewServer(handler, nil, 8)}}
	l.pool = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &l.bytes}, nil
	}}
	l.client = peer.NewClient(l.pool, l.pool)
	go func() { _ = l.server.Serve(listener) }()
	return l
}

func (l *loopback) close() {
	l.pool.CloseIdleConnections()
	_ = l.server.Close()
}

// exchangePair returns the two messages of an exchange between nodes whose
// digests agree. Each message carries the given number of rumors, or n if that
// is less.
func exchangePair(n, rumors int) (question, answer gypsumrail.Exchange) {
	list := instances(n)
	values := []gypsumrail.ValueVersion{{Name: gypsumrail.ValueInstances, Revision: 1, Hash: 1}, {Name: gypsumrail.ValueRecords, Revision: 1, Hash: 1}}
	digest := gypsumrail.Digest{Values: values}
	for i := range digest.Buckets {
		digest.Buckets[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	rumors = min(rumors, len(list))
	question = gypsumrail.Exchange{From: list[0], Digest: digest, Entries: list[:rumors]}
	answer = gypsumrail.Exchange{From: list[1%len(list)], Digest: digest, Entries: list[:rumors], Answer: true}
	return question, answer
}

// exchangeBytes returns the bytes that one exchange sends both ways, with the
// given number of rumors in each direction.
func exchangeBytes(rumors int) float64 {
	bytes, _ := exchangeCost(rumors)
	return bytes
}

// exchangeWireTime returns the microseconds of processor time of the client and
// the server for one exchange.
func exchangeWireTime(rumors int) float64 {
	_, cpu := exchangeCost(rumors)
	return cpu
}

func exchangeCost(rumors int) (bytes, cpu float64) {
	question, answer := exchangePair(64, rumors)
	l := newLoopback(&fixedHandler{answer: answer})
	defer l.close()
	send := func() {
		if _, err := l.client.Exchange(context.Background(), l.addr, question); err != nil {
			panic(err)
		}
	}
	send() // opens the connection
	const runs = 500
	l.bytes.Store(0)
	cpu = cpuMicros(runs, send)
	return float64(l.bytes.Load()) / runs, cpu
}

// pullBytes returns the bytes that one pull of the records of a fleet of n
// instances sends both ways on a new connection.
func pullBytes(n int) float64 {
	text := recordsJSON(n)
	content, err := peer.Compress(text)
	if err != nil {
		panic(err)
	}
	version := gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 2, Hash: peer.HashOf(text)}
	l := newLoopback(&fixedHandler{content: content, version: version})
	defer l.close()
	if _, _, err := l.client.Pull(context.Background(), l.addr, version); err != nil {
		panic(err)
	}
	return float64(l.bytes.Load())
}
