package slope

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// wire is a control server and client on a loopback connection that counts the
// bytes in both directions, HTTP headers included.
type wire struct {
	server *http.Server
	client *peer.Client
	pool   *http.Transport
	addr   string
	bytes  atomic.Int64
}

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

// answerer answers each exchange with a fixed message.
type answerer struct {
	answer  gypsumrail.Exchange
	content []byte
	version gypsumrail.ValueVersion
}

func (a *answerer) Exchange(context.Context, gypsumrail.Exchange) (gypsumrail.Exchange, error) {
	return a.answer, nil
}

func (a *answerer) Pull(context.Context, gypsumrail.ValueVersion) (gypsumrail.ValueVersion, []byte, error) {
	return a.version, a.content, nil
}

func (a *answerer) Resolve(context.Context, string, gypsumrail.HomeAttempt) (peer.Resolution, error) {
	return peer.Resolution{}, nil
}

func newWire(handler peer.Handler) *wire {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &wire{addr: listener.Addr().String(), server: &http.Server{Handler: peer.NewServer(handler, 8)}}
	w.pool = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &w.bytes}, nil
	}}
	w.client = peer.NewClient(w.pool, w.pool)
	go func() { _ = w.server.Serve(listener) }()
	return w
}

func (w *wire) close() {
	w.pool.CloseIdleConnections()
	_ = w.server.Close()
}

// exchanges returns a question and its answer as two nodes that agree send them
// while some entries are still passed on as rumors.
func exchanges(n, rumors int) (question, answer gypsumrail.Exchange) {
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

// exchangeBytes is the traffic of one exchange with a number of rumors in each direction.
func exchangeBytes(rumors int) float64 {
	bytes, _ := exchangeCost(rumors)
	return bytes
}

func exchangeWireTime(rumors int) float64 {
	_, cpu := exchangeCost(rumors)
	return cpu
}

func exchangeCost(rumors int) (bytes, cpu float64) {
	question, answer := exchanges(64, rumors)
	w := newWire(&answerer{answer: answer})
	defer w.close()
	send := func() {
		if _, err := w.client.Exchange(context.Background(), w.addr, question); err != nil {
			panic(err)
		}
	}
	send() // opens the connection
	const runs = 500
	w.bytes.Store(0)
	cpu = cpuOf(runs, send)
	return float64(w.bytes.Load()) / runs, cpu
}

// pullBytes is the traffic of one fetch of the records of a fleet.
func pullBytes(n int) float64 {
	text := recordText(n)
	content, err := peer.Compress(text)
	if err != nil {
		panic(err)
	}
	version := gypsumrail.ValueVersion{Name: gypsumrail.ValueRecords, Revision: 2, Hash: peer.HashOf(text)}
	w := newWire(&answerer{content: content, version: version})
	defer w.close()
	if _, _, err := w.client.Pull(context.Background(), w.addr, version); err != nil {
		panic(err)
	}
	return float64(w.bytes.Load())
}
