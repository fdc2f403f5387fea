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
	// maxAppendRecords bounds the records in one append request.
	maxAppendRecords = 512
	// appendRetryInterval is the wait after an append request that failed or was
	// refused.
	appendRetryInterval = 20 * time.Millisecond
	// receiveLagPollInterval bounds the time until a primary notices that a peer's
	// receive lag has changed.
	receiveLagPollInterval = 20 * time.Millisecond
	// remoteAppendTimeout bounds one append request to another process.
	remoteAppendTimeout = time.Second
)

// peer is another member of the group, to which a primary replicates its log.
type peer interface {
	targetID() topology.TargetID
	// receiveLag returns the age that records must reach before they are sent.
	receiveLag() time.Duration
	sendAppend(ctx context.Context, request database.AppendRequest) (database.AppendResponse, error)
}

// localPeer is a member in the same process.
type localPeer struct {
	member *Member
}

func (p localPeer) targetID() topology.TargetID { return p.member.target.ID }

func (p localPeer) receiveLag() time.Duration { return p.member.Faults().receiveLag() }

func (p localPeer) sendAppend(ctx context.Context, request database.AppendRequest) (database.AppendResponse, error) {
	return p.member.receiveAppend(ctx, request)
}

// remotePeer is a member in another process.
type remotePeer struct {
	target platform.Target
	http   *http.Client
	// receiveLagMillis is the receive lag of the latest response.
	receiveLagMillis atomic.Int64
}

// remoteAppendResponse adds the receiver's receive lag to the response. The
// sender emulates the lag, and the fault is set in the receiver's process.
type remoteAppendResponse struct {
	database.AppendResponse
	ReceiveLagMillis int `json:"receive_lag_millis"`
}

func newRemotePeer(target platform.Target) *remotePeer {
	return &remotePeer{target: target, http: httpjson.NewClient()}
}

func (p *remotePeer) targetID() topology.TargetID { return p.target.ID }

func (p *remotePeer) receiveLag() time.Duration {
	return time.Duration(p.receiveLagMillis.Load()) * time.Millisecond
}

func (p *remotePeer) sendAppend(ctx context.Context, request database.AppendRequest) (database.AppendResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteAppendTimeout)
	defer cancel()
	response, err := httpjson.Call[database.AppendRequest, remoteAppendResponse](ctx, p.http, p.target.Control, pathReplicate, request)
	if err != nil {
		return database.AppendResponse{}, eris.Wrapf(err, "replicate to target %s", p.target.ID)
	}
	p.receiveLagMillis.Store(int64(response.ReceiveLagMillis))
	return response.AppendResponse, nil
}

// receiveAppend appends the records that another member sends, unless a fault
// drops the request.
func (m *Member) receiveAppend(ctx context.Context, request database.AppendRequest) (database.AppendResponse, error) {
	m.mu.Lock()
	proc := m.mu.process
	isCut := m.mu.faults.cutsReplicationWith(request.From)
	m.mu.Unlock()
	if proc == nil || isCut {
		return database.AppendResponse{}, eris.Wrapf(errUnreachable, "replicate to target %s", m.target.ID)
	}
	if err := m.gates.allTraffic.waitOrCancel(proc.stopped, ctx.Done()); err != nil {
		return database.AppendResponse{}, err
	}
	return m.database.Receive(request), nil
}

// replicateTo sends the log to one peer whenever the member is primary, until the
// process stops. It has one request in flight at a time.
func (proc *process) replicateTo(p peer) {
	m := proc.member
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	proc.spawn(func() {
		<-proc.stopped
		cancel()
	})
	var cursor database.ReplicationCursor
	for m.gates.allTraffic.wait(proc.stopped) == nil {
		changed := m.database.Changed()
		request, delay, isPrimary := m.database.NextAppend(&cursor, p.receiveLag(), maxAppendRecords)
		if !isPrimary || len(request.Records) == 0 {
			proc.waitForChange(changed, min(delay, receiveLagPollInterval))
			continue
		}
		if m.Faults().cutsReplicationWith(p.targetID()) {
			proc.waitForChange(nil, appendRetryInterval)
			continue
		}
		response, err := p.sendAppend(ctx, request)
		if err != nil || response.Refused {
			proc.waitForChange(nil, appendRetryInterval)
			continue
		}
		cursor.MatchedPosition = response.MatchedPosition
	}
}

// replayContinuously replays received records when the replay lag has passed,
// until the process stops.
func (proc *process) replayContinuously() {
	m := proc.member
	for m.gates.allTraffic.wait(proc.stopped) == nil {
		changed := m.database.Changed()
		delay, pending := m.database.Replay()
		if !pending {
			delay = -1
		}
		proc.waitForChange(changed, delay)
	}
}

// waitForChange returns when changed is closed, when the process stops, or after
// the delay if that is positive.
func (proc *process) waitForChange(changed <-chan struct{}, delay time.Duration) {
	var expired <-chan time.Time
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-expired:
	case <-proc.stopped:
	}
}
