package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Counters count the traffic of all links of a mesh.
type Counters struct {
	SentFrames, SentBytes         atomic.Uint64
	ReceivedFrames, ReceivedBytes atomic.Uint64
	// Dropped counts frames for peers without a link or with a full queue.
	Dropped      atomic.Uint64
	DialFailures atomic.Uint64
}

// link is one WebSocket to a peer. It lives until either direction fails.
type link struct {
	conn     *websocket.Conn
	peer     topology.InstanceID
	queue    chan []byte
	counters *Counters
	// traffic counts frames in both directions.
	traffic atomic.Uint64
	// keepIdle reports whether the link stays when it has no traffic.
	keepIdle func() bool
}

// errIdle ends a link without traffic.
var errIdle = eris.New("link is idle")

func newLink(conn *websocket.Conn, peer topology.InstanceID, counters *Counters) *link {
	return &link{conn: conn, peer: peer, queue: make(chan []byte, sendQueueFrames), counters: counters}
}

// enqueue hands a frame to the writing goroutine, or drops it.
func (l *link) enqueue(data []byte) {
	select {
	case l.queue <- data:
	default:
		l.counters.Dropped.Add(1)
	}
}

// run reads and writes until the link fails or ctx ends.
func (l *link) run(ctx context.Context, deliver func(topology.InstanceID, []byte) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.readAll(ctx, deliver) })
	group.Go(func() error { return l.writeAll(ctx) })
	group.Go(func() error { return l.watchIdle(ctx) })
	return group.Wait()
}

func (l *link) readAll(ctx context.Context, deliver func(topology.InstanceID, []byte) error) error {
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return eris.Wrapf(err, "read from %s", l.peer)
		}
		l.traffic.Add(1)
		if err := deliver(l.peer, data); err != nil {
			return err
		}
	}
}

func (l *link) writeAll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case data := <-l.queue:
			if err := l.write(ctx, data); err != nil {
				return err
			}
		}
	}
}

func (l *link) write(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return eris.Wrapf(err, "write to %s", l.peer)
	}
	l.traffic.Add(1)
	l.counters.SentFrames.Add(1)
	l.counters.SentBytes.Add(uint64(len(data)))
	return nil
}

// watchIdle ends the link once it had no traffic for linkIdle, unless idle links
// are kept.
func (l *link) watchIdle(ctx context.Context) error {
	ticker := time.NewTicker(linkIdle)
	defer ticker.Stop()
	last := l.traffic.Load()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := l.traffic.Load()
		if now == last && !l.keepIdle() {
			return errIdle
		}
		last = now
	}
}
