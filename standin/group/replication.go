package group

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/database"
)

const (
	// streamBatch is the most records in one stream.
	streamBatch = 512
	// streamRetry is the wait after a stream that failed or was refused.
	streamRetry = 20 * time.Millisecond
	// lagPoll is how soon a primary sees that a peer's lag has changed.
	lagPoll = 20 * time.Millisecond
	// streamTimeout bounds one stream to another process.
	streamTimeout = time.Second
)

// peer is another member as a primary streams to it.
type peer interface {
	id() topology.TargetID
	lag() time.Duration
	stream(ctx context.Context, stream database.Stream) (database.StreamAnswer, error)
}

// localPeer is a member in the same process.
type localPeer struct {
	member *Member
}

func (p localPeer) id() topology.TargetID { return p.member.target.ID }

func (p localPeer) lag() time.Duration { return p.member.Faults().receiveLag() }

func (p localPeer) stream(ctx context.Context, stream database.Stream) (database.StreamAnswer, error) {
	return p.member.receive(ctx, stream)
}

// remotePeer is a member in another process.
type remotePeer struct {
	target    platform.Target
	http      *http.Client
	lagMillis atomic.Int64
}

// remoteAnswer tells the sender also how late the receiver wants its log.
type remoteAnswer struct {
	database.StreamAnswer
	ReceiveLagMillis int `json:"receive_lag_millis"`
}

func newRemotePeer(target platform.Target) *remotePeer {
	return &remotePeer{target: target, http: httpjson.NewClient()}
}

func (p *remotePeer) id() topology.TargetID { return p.target.ID }

func (p *remotePeer) lag() time.Duration {
	return time.Duration(p.lagMillis.Load()) * time.Millisecond
}

func (p *remotePeer) stream(ctx context.Context, stream database.Stream) (database.StreamAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	answer, err := httpjson.Call[database.Stream, remoteAnswer](ctx, p.http, p.target.Control, pathReplicate, stream)
	if err != nil {
		return database.StreamAnswer{}, eris.Wrapf(err, "stream to target %s", p.target.ID)
	}
	p.lagMillis.Store(int64(answer.ReceiveLagMillis))
	return answer.StreamAnswer, nil
}

// receive takes a stream from another member, unless a fault loses it.
func (m *Member) receive(ctx context.Context, stream database.Stream) (database.StreamAnswer, error) {
	m.mu.Lock()
	r := m.mu.run
	cut := m.mu.faults.cuts(stream.From)
	m.mu.Unlock()
	if r == nil || cut {
		return database.StreamAnswer{}, eris.Wrapf(errStopped, "stream to target %s", m.target.ID)
	}
	if err := m.gates.frozen.passUnless(r.stopped, ctx.Done()); err != nil {
		return database.StreamAnswer{}, err
	}
	return m.database.Receive(stream), nil
}

// replicate streams the log to one peer while the member is primary.
func (r *run) replicate(p peer) {
	m := r.member
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.spawn(func() {
		<-r.stopped
		cancel()
	})
	var cursor database.Cursor
	for m.gates.frozen.pass(r.stopped) == nil {
		changed := m.database.Changed()
		stream, due, primary := m.database.Outgoing(&cursor, p.lag(), streamBatch)
		if !primary || len(stream.Records) == 0 {
			r.await(changed, min(due, lagPoll))
			continue
		}
		if m.Faults().cuts(p.id()) {
			r.await(nil, streamRetry)
			continue
		}
		answer, err := p.stream(ctx, stream)
		if err != nil || answer.Refused {
			r.await(nil, streamRetry)
			continue
		}
		cursor.Matched = answer.Matched
	}
}

// replay makes received records visible as they fall due.
func (r *run) replay() {
	m := r.member
	for m.gates.frozen.pass(r.stopped) == nil {
		changed := m.database.Changed()
		due, waiting := m.database.Replay()
		if !waiting {
			due = -1
		}
		r.await(changed, due)
	}
}

// await returns at a change, after due when it is positive, or when the member
// stops.
func (r *run) await(changed <-chan struct{}, due time.Duration) {
	var expired <-chan time.Time
	if due > 0 {
		timer := time.NewTimer(due)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-expired:
	case <-r.stopped:
	}
}
