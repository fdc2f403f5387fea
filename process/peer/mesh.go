package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Timeouts, intervals and sizes of links.
const (
	dialTimeout     = 2 * time.Second
	helloTimeout    = 2 * time.Second
	writeTimeout    = 2 * time.Second
	redialInterval  = 250 * time.Millisecond
	sendQueueFrames = 512
	// flushPollInterval is the interval between checks whether all frames are written.
	flushPollInterval = 2 * time.Millisecond
	// fullMeshInstances is the largest fleet in which every pair of instances
	// keeps a link. In a larger fleet a link is opened when there is a message
	// to send, and closed after linkIdleTimeout without traffic.
	fullMeshInstances = 32
	linkIdleTimeout   = time.Minute
	// maxHelloInstances is the longest list of instances that is sent to a
	// peer.
	maxHelloInstances = 256
	// MeshPath is the HTTP path at which an instance accepts links.
	MeshPath = "/peer"
)

// Events of the links.
var (
	eventLinkUp       = event.Define(1101, event.Info, "peer link up")
	eventLinkDown     = event.Define(1102, event.Info, "peer link down")
	eventLinkRejected = event.Define(1103, event.Warning, "peer link rejected")
	eventEncodeFailed = event.Define(1104, event.Warning, "cannot encode message to peer")
	eventInvalidFrame = event.Define(1105, event.Warning, "frame from a peer cannot be decoded")
)

// Config describes this instance and configures its links.
type Config struct {
	Instance      topology.InstanceID
	FailureDomain topology.FailureDomain
	// Address is where peers reach this instance, host:port.
	Address string
	// Identity, when set, makes links use mutual TLS. The listener must then
	// use its ServerConfig.
	Identity *Identity
	// Seeds are addresses to dial while neither peers nor links are known.
	Seeds []string
	// Dial, when set, replaces the default dialer for links.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// KnownInstances, when set, returns the platform's list of instances as this
	// instance last read it. It is sent to peers when a link comes up, unless
	// it is long.
	KnownInstances func() []platform.Instance
}

// Mesh keeps a link to each peer and accepts links from others. A pair of
// instances may have two links for a while, when both dialed at the same time;
// messages may go over either.
//
// Frames are dropped when a peer has no link or its queue is full. Receivers
// run on the link's reading goroutine.
type Mesh struct {
	cfg    Config
	logger logr.Logger
	client *http.Client
	scheme string
	// receivers is indexed by Kind and set before Run.
	receivers [256]Receiver
	// wake makes Run dial missing links before its next interval; it has
	// capacity one.
	wake       chan struct{}
	counters   Counters
	onLinkUp   func(platform.Instance, []platform.Instance)
	onLinkDown func(topology.InstanceID)

	mu struct {
		sync.RWMutex
		// peers lists the instances to keep links to, without this one.
		peers []platform.Instance
		// links holds the links of each connected peer, the newest last.
		links map[topology.InstanceID][]*link
		// linkDemand holds, for peers without a link, when one was last needed.
		linkDemand map[topology.InstanceID]time.Time
	}
}

// New returns a mesh without links.
func New(cfg Config, logger logr.Logger) *Mesh {
	m := &Mesh{cfg: cfg, logger: logger, scheme: "ws", wake: make(chan struct{}, 1)}
	transport := &http.Transport{DialContext: cfg.Dial}
	if cfg.Identity != nil {
		transport.TLSClientConfig = cfg.Identity.clientConfig()
		m.scheme = "wss"
	}
	m.client = &http.Client{Transport: transport}
	m.mu.links = make(map[topology.InstanceID][]*link)
	m.mu.linkDemand = make(map[topology.InstanceID]time.Time)
	return m
}

// Handle sets the receiver of a kind of message. It must be called before Run.
func (m *Mesh) Handle(kind Kind, receiver Receiver) { m.receivers[kind] = receiver }

// OnLinkUp sets a function that is called whenever a link comes up, with the
// peer and the list of instances that the peer sent. It must be called before
// Run, and the function must return quickly.
func (m *Mesh) OnLinkUp(f func(peer platform.Instance, known []platform.Instance)) { m.onLinkUp = f }

// OnLinkDown sets a function that is called when a peer's last link has closed.
// It must be called before Run, and the function must return quickly.
func (m *Mesh) OnLinkDown(f func(peer topology.InstanceID)) { m.onLinkDown = f }

// Reachable reports whether a peer has a link.
func (m *Mesh) Reachable(id topology.InstanceID) bool { return m.newestLink(id) != nil }

// Reset closes the links to a peer. Run then dials it again.
func (m *Mesh) Reset(id topology.InstanceID) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.mu.links[id] {
		go l.conn.CloseNow()
	}
}

// Counters returns the traffic counters.
func (m *Mesh) Counters() *Counters { return &m.counters }

// SetPeers replaces the set of instances that the mesh keeps links to. This
// instance is ignored.
func (m *Mesh) SetPeers(instances []platform.Instance) {
	peers := slices.DeleteFunc(slices.Clone(instances), func(i platform.Instance) bool {
		return i.ID == m.cfg.Instance
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.peers = peers
}

// Connected returns the peers that have a link, sorted.
func (m *Mesh) Connected() []topology.InstanceID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	ids := make([]topology.InstanceID, 0, len(m.mu.links))
	for id := range m.mu.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Send implements Sender. Without a link it drops the message and requests one.
func (m *Mesh) Send(to topology.InstanceID, kind Kind, payload any) {
	l := m.newestLink(to)
	if l == nil {
		m.counters.Dropped.Add(1)
		m.recordLinkDemand(to)
		return
	}
	data, err := encodeFrame(kind, payload)
	if err != nil {
		eventEncodeFailed.LogError(m.logger, err, "peer", to)
		return
	}
	l.enqueue(data)
}

// Flush waits until all frames that were sent before are written, or until the deadline.
// Frames to peers whose links are down are not waited for.
func (m *Mesh) Flush(deadline time.Time) {
	for m.hasUnwritten() && time.Now().Before(deadline) {
		time.Sleep(flushPollInterval)
	}
}

// hasUnwritten reports whether frames are queued or being written.
func (m *Mesh) hasUnwritten() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, links := range m.mu.links {
		if slices.ContainsFunc(links, func(l *link) bool { return l.unwritten.Load() > 0 }) {
			return true
		}
	}
	return false
}

// newestLink returns the newest link to a peer, or nil.
func (m *Mesh) newestLink(id topology.InstanceID) *link {
	m.mu.RLock()
	defer m.mu.RUnlock()
	links := m.mu.links[id]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}

// recordLinkDemand records that a link to a peer is needed, and wakes Run if
// that is new.
func (m *Mesh) recordLinkDemand(to topology.InstanceID) {
	m.mu.Lock()
	_, known := m.mu.linkDemand[to]
	m.mu.linkDemand[to] = time.Now()
	m.mu.Unlock()
	if !known {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// RequestLink requests that a link to a peer be opened soon if there is none.
func (m *Mesh) RequestLink(id topology.InstanceID) {
	if !m.Reachable(id) {
		m.recordLinkDemand(id)
	}
}

// Run dials peers that have no link until ctx is done, which also closes the
// links that it dialed.
func (m *Mesh) Run(ctx context.Context) error {
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	var dials sync.WaitGroup
	defer dials.Wait()
	var dialing sync.Map
	for round := 0; ; round++ {
		for _, address := range m.addressesToDial(round) {
			if _, alreadyDialing := dialing.LoadOrStore(address, true); alreadyDialing {
				continue
			}
			dials.Go(func() {
				defer dialing.Delete(address)
				m.dial(ctx, address)
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// addressesToDial returns the addresses to dial now. Of a pair of instances the
// one with the smaller ID dials immediately and the other only in every fourth
// round, so that a pair rarely has two links. In a large fleet either side dials
// immediately, but only peers for which a link was requested.
func (m *Mesh) addressesToDial(round int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	fullMesh := len(m.mu.peers) < fullMeshInstances
	var addresses []string
	for _, instance := range m.mu.peers {
		if len(m.mu.links[instance.ID]) > 0 || instance.Peer == "" {
			continue
		}
		dialsNow := m.cfg.Instance < instance.ID || round%4 == 3
		if (fullMesh && dialsNow) || (!fullMesh && m.linkDemanded(instance.ID)) {
			addresses = append(addresses, instance.Peer)
		}
	}
	if len(m.mu.links) == 0 && len(m.mu.peers) == 0 {
		addresses = append(addresses, m.cfg.Seeds...)
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return a == m.cfg.Address })
}

// linkDemanded reports whether a link to a peer was requested within
// linkIdleTimeout, and forgets older requests. The caller holds m.mu.
func (m *Mesh) linkDemanded(id topology.InstanceID) bool {
	at, ok := m.mu.linkDemand[id]
	if ok && time.Since(at) > linkIdleTimeout {
		delete(m.mu.linkDemand, id)
		return false
	}
	return ok
}

// keepsIdleLinks reports whether links without traffic are kept open.
func (m *Mesh) keepsIdleLinks() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.mu.peers) < fullMeshInstances
}

// dial opens a link and serves it until it closes.
func (m *Mesh) dial(ctx context.Context, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, response, err := websocket.Dial(dialCtx, m.scheme+"://"+address+MeshPath, &websocket.DialOptions{HTTPClient: m.client})
	cancel()
	if err != nil {
		m.counters.DialFailures.Add(1)
		return
	}
	m.serveLink(ctx, conn, response.TLS)
}

// ServeHTTP accepts a link from a peer and serves it until it closes.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	m.serveLink(r.Context(), conn, r.TLS)
}

// serveLink exchanges hellos, verifies the peer's identity and runs the link
// until it closes.
func (m *Mesh) serveLink(ctx context.Context, conn *websocket.Conn, state *tls.ConnectionState) {
	conn.SetReadLimit(MaxFrameBytes)
	defer conn.CloseNow()
	remote, err := m.exchangeHellos(ctx, conn)
	if err == nil {
		err = verifyInstance(state, remote.Instance)
	}
	if err != nil {
		eventLinkRejected.LogError(m.logger, err)
		return
	}
	l := newLink(conn, remote.Instance, &m.counters)
	l.keepIdle = m.keepsIdleLinks
	m.addLink(l)
	defer m.removeLink(l)
	eventLinkUp.Log(m.logger, "peer", remote.Instance, "address", remote.Address)
	if m.onLinkUp != nil {
		m.onLinkUp(platform.Instance{
			ID: remote.Instance, Peer: remote.Address,
			FailureDomain: remote.FailureDomain, State: platform.InstanceLive,
		}, remote.KnownInstances)
	}
	err = l.run(ctx, m.deliver)
	eventLinkDown.Log(m.logger, "peer", remote.Instance, "cause", eris.ToString(err, false))
}

// exchangeHellos sends this instance's hello and returns the peer's.
func (m *Mesh) exchangeHellos(ctx context.Context, conn *websocket.Conn) (hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	encodedHello, err := cbor.Marshal(m.ownHello())
	if err != nil {
		return hello{}, eris.Wrap(err, "encode hello")
	}
	if err := conn.Write(ctx, websocket.MessageBinary, encodedHello); err != nil {
		return hello{}, eris.Wrap(err, "send hello")
	}
	_, data, err := conn.Read(ctx)
	if err != nil {
		return hello{}, eris.Wrap(err, "read hello")
	}
	remote, err := decodeHello(data)
	if err != nil {
		return hello{}, err
	}
	if remote.Instance == m.cfg.Instance {
		return hello{}, eris.Errorf("peer at %s uses this instance's ID", remote.Address)
	}
	return remote, nil
}

// ownHello returns this instance's hello.
func (m *Mesh) ownHello() hello {
	h := hello{Instance: m.cfg.Instance, FailureDomain: m.cfg.FailureDomain, Address: m.cfg.Address}
	if m.cfg.KnownInstances == nil {
		return h
	}
	if known := m.cfg.KnownInstances(); len(known) <= maxHelloInstances {
		h.KnownInstances = known
	}
	return h
}

// deliver decodes a frame and passes it to the receiver of its kind. A frame that cannot be
// decoded, or whose kind has no receiver, is ignored: the next one begins where the WebSocket says.
func (m *Mesh) deliver(from topology.InstanceID, data []byte) {
	m.counters.ReceivedFrames.Add(1)
	m.counters.ReceivedBytes.Add(uint64(len(data)))
	f, err := decodeFrame(data)
	if err != nil {
		eventInvalidFrame.LogError(m.logger, err, "peer", from, "bytes", len(data))
		return
	}
	if receiver := m.receivers[f.Kind]; receiver != nil {
		receiver(from, f.Payload)
	}
}

func (m *Mesh) addLink(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.mu.linkDemand, l.peer)
	m.mu.links[l.peer] = append(m.mu.links[l.peer], l)
}

// removeLink removes a closed link and calls onLinkDown if it was the peer's
// last.
func (m *Mesh) removeLink(l *link) {
	m.mu.Lock()
	remaining := slices.DeleteFunc(m.mu.links[l.peer], func(other *link) bool { return other == l })
	if len(remaining) > 0 {
		m.mu.links[l.peer] = remaining
	} else {
		delete(m.mu.links, l.peer)
	}
	m.mu.Unlock()
	if len(remaining) == 0 && m.onLinkDown != nil {
		m.onLinkDown(l.peer)
	}
}
