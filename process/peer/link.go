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

// Counters counts the traffic of all links of a mesh.
type Counters struct {
	SentFrames, SentBytes         atomic.Uint64
	ReceivedFrames, ReceivedBytes atomic.Uint64
	// Dropped counts the frames that were dropped because the peer had no link
	// or its queue was full.
	Dropped      atomic.Uint64
	DialFailures atomic.Uint64
}

// link is one WebSocket to a peer. It lives until reading or writing fails, or
// it is closed as idle.
type link struct {
	conn *websocket.Conn
	peer topology.InstanceID
	// queue holds the frames to write. When it is full, further frames are
	// dropped.
	queue    chan []byte
	counters *Counters
	// unwritten counts the frames that are queued or being written.
	unwritten atomic.Int64
	// frameCount counts the frames in both directions.
	frameCount atomic.Uint64
	// keepIdle reports whether the link is kept open without traffic.
	keepIdle func() bool
}

// errLinkIdle closes a link without traffic.
var errLinkIdle = eris.New("link is idle")

func newLink(conn *websocket.Conn, peer topology.InstanceID, counters *Counters) *link {
	return &link{conn: conn, peer: peer, queue: make(chan []byte, sendQueueFrames), counters: counters}
}

// enqueue queues a frame for writing, or drops it if the queue is full.
func (l *link) enqueue(data []byte) {
	l.unwritten.Add(1)
	select {
	case l.queue <- data:
	default:
		l.unwritten.Add(-1)
		l.counters.Dropped.Add(1)
	}
}

// run reads and writes frames until the link fails, becomes idle or ctx is
// done.
func (l *link) run(ctx context.Context, deliver func(topology.InstanceID, []byte)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.readLoop(ctx, deliver) })
	group.Go(func() error { return l.writeLoop(ctx) })
	group.Go(func() error { return l.closeWhenIdle(ctx) })
	return group.Wait()
}

func (l *link) readLoop(ctx context.Context, deliver func(topology.InstanceID, []byte)) error {
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return eris.Wrapf(err, "read from %s", l.peer)
		}
		l.frameCount.Add(1)
		deliver(l.peer, data)
	}
}

func (l *link) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case data := <-l.queue:
			err := l.writeFrame(ctx, data)
			l.unwritten.Add(-1)
			if err != nil {
				return err
			}
		}
	}
}

func (l *link) writeFrame(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return eris.Wrapf(err, "write to %s", l.peer)
	}
	l.frameCount.Add(1)
	l.counters.SentFrames.Add(1)
	l.counters.SentBytes.Add(uint64(len(data)))
	return nil
}

// closeWhenIdle returns errLinkIdle after linkIdleTimeout without traffic,
// unless idle links are kept.
func (l *link) closeWhenIdle(ctx context.Context) error {
	ticker := time.NewTicker(linkIdleTimeout)
	defer ticker.Stop()
	last := l.frameCount.Load()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := l.frameCount.Load()
		if now == last && !l.keepIdle() {
			return errLinkIdle
		}
		last = now
	}
}
