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

// Timing and size of links.
const (
	dialTimeout     = 2 * time.Second
	helloTimeout    = 2 * time.Second
	writeTimeout    = 2 * time.Second
	redialInterval  = 250 * time.Millisecond
	sendQueueFrames = 512
	// fullMeshInstances is the largest fleet in which every pair keeps a link. In
	// a larger one links are opened when a message is to be sent and closed when
	// none crossed them for linkIdle.
	fullMeshInstances = 32
	linkIdle          = time.Minute
	// maxToldInstances is the longest list that is told to a peer.
	maxToldInstances = 256
	// MeshPath is the HTTP path at which a daemon accepts links.
	MeshPath = "/peer"
)

// Events of the links.
var (
	eventLinkUp       = event.Define(1101, event.Info, "peer link up")
	eventLinkDown     = event.Define(1102, event.Info, "peer link down")
	eventLinkRejected = event.Define(1103, event.Warning, "peer link rejected")
	eventFrameDropped = event.Define(1104, event.Warning, "message to peer not encoded")
)

// Config describes this instance to its peers.
type Config struct {
	Instance      topology.InstanceID
	FailureDomain topology.FailureDomain
	// Address is where peers reach this instance, host:port.
	Address string
	// Identity, when set, secures and authenticates links on both sides. The
	// listener then uses its ServerConfig.
	Identity *Identity
	// Seeds are addresses to dial before any list of instances is known.
	Seeds []string
	// Dial, when set, opens the connections of links.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Known, when set, returns the platform's list of instances as this instance
	// has read it last. Small lists are told to peers when a link comes up.
	Known func() []platform.Instance
}

// Mesh keeps a link to each wanted peer and accepts links from others. A pair
// may have two links for a while; messages go over either.
//
// Frames are dropped when a peer has no link or its queue is full. Receivers
// run on the link's reading goroutine.
type Mesh struct {
	cfg       Config
	logger    logr.Logger
	client    *http.Client
	scheme    string
	receivers [256]Receiver
	// wake makes Run look for missing links before its next round.
	wake     chan struct{}
	counters Counters
	onUp     func(platform.Instance, []platform.Instance)
	onDown   func(topology.InstanceID)

	mu struct {
		sync.RWMutex
		wanted []platform.Instance
		links  map[topology.InstanceID][]*link
		// demand holds when a message for a peer without a link was dropped.
		demand map[topology.InstanceID]time.Time
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
	m.mu.demand = make(map[topology.InstanceID]time.Time)
	return m
}

// Handle sets the receiver of a kind. It is called before Run.
func (m *Mesh) Handle(kind Kind, receiver Receiver) { m.receivers[kind] = receiver }

// OnUp sets a function that is told of each peer that a link came up to, with the
// list of instances that the peer knows. It is called before Run and must return
// quickly.
func (m *Mesh) OnUp(f func(peer platform.Instance, known []platform.Instance)) { m.onUp = f }

// OnDown sets a function that is told of each peer whose last link has ended. It
// is called before Run and must return quickly.
func (m *Mesh) OnDown(f func(peer topology.InstanceID)) { m.onDown = f }

// Reachable reports whether a peer has a link.
func (m *Mesh) Reachable(id topology.InstanceID) bool { return m.linkTo(id) != nil }

// Reset closes the links to a peer, which are then opened anew.
func (m *Mesh) Reset(id topology.InstanceID) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.mu.links[id] {
		go l.conn.CloseNow()
	}
}

// Counters returns the traffic counters.
func (m *Mesh) Counters() *Counters { return &m.counters }

// SetPeers replaces the set of instances that the mesh keeps links to.
func (m *Mesh) SetPeers(instances []platform.Instance) {
	wanted := slices.DeleteFunc(slices.Clone(instances), func(i platform.Instance) bool {
		return i.ID == m.cfg.Instance
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.wanted = wanted
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

// Send implements Sender.
func (m *Mesh) Send(to topology.InstanceID, kind Kind, payload any) {
	l := m.linkTo(to)
	if l == nil {
		m.counters.Dropped.Add(1)
		m.want(to)
		return
	}
	data, err := encodeFrame(kind, payload)
	if err != nil {
		eventFrameDropped.LogError(m.logger, err, "peer", to)
		return
	}
	l.enqueue(data)
}

// linkTo returns the newest link to a peer, or nil.
func (m *Mesh) linkTo(id topology.InstanceID) *link {
	m.mu.RLock()
	defer m.mu.RUnlock()
	links := m.mu.links[id]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}

// want notes that a link to a peer is needed and makes Run look at once.
func (m *Mesh) want(to topology.InstanceID) {
	m.mu.Lock()
	_, known := m.mu.demand[to]
	m.mu.demand[to] = time.Now()
	m.mu.Unlock()
	if !known {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// Want opens a link to a peer soon if there is none.
func (m *Mesh) Want(id topology.InstanceID) {
	if !m.Reachable(id) {
		m.want(id)
	}
}

// Run dials wanted peers that have no link until ctx ends, then closes all
// links.
func (m *Mesh) Run(ctx context.Context) error {
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	var dials sync.WaitGroup
	defer dials.Wait()
	var dialing sync.Map
	for round := 0; ; round++ {
		for _, address := range m.missing(round) {
			if _, busy := dialing.LoadOrStore(address, true); busy {
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

// missing returns the addresses to dial now. Of a pair, the instance with the
// smaller identifier dials at once and the other only in every fourth round, so
// that two links for one pair are rare. In a large fleet only peers that a
// message waits for are dialed, by either side at once.
func (m *Mesh) missing(round int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	full := len(m.mu.wanted) < fullMeshInstances
	var addresses []string
	for _, instance := range m.mu.wanted {
		if len(m.mu.links[instance.ID]) > 0 || instance.Peer == "" {
			continue
		}
		first := m.cfg.Instance < instance.ID || round%4 == 3
		if (full && first) || (!full && m.demanded(instance.ID)) {
			addresses = append(addresses, instance.Peer)
		}
	}
	if len(m.mu.links) == 0 && len(m.mu.wanted) == 0 {
		addresses = append(addresses, m.cfg.Seeds...)
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return a == m.cfg.Address })
}

// demanded reports whether a link to a peer was needed lately, and forgets older
// needs. The lock is held.
func (m *Mesh) demanded(id topology.InstanceID) bool {
	at, ok := m.mu.demand[id]
	if ok && time.Since(at) > linkIdle {
		delete(m.mu.demand, id)
		return false
	}
	return ok
}

// keepIdle reports whether links without traffic are kept.
func (m *Mesh) keepIdle() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.mu.wanted) < fullMeshInstances
}

// dial opens a link and serves it until it ends.
func (m *Mesh) dial(ctx context.Context, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, response, err := websocket.Dial(dialCtx, m.scheme+"://"+address+MeshPath, &websocket.DialOptions{HTTPClient: m.client})
	cancel()
	if err != nil {
		m.counters.DialFailures.Add(1)
		return
	}
	m.serve(ctx, conn, response.TLS)
}

// ServeHTTP accepts a link from a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	m.serve(r.Context(), conn, r.TLS)
}

// serve exchanges hellos, then runs the link until it ends.
func (m *Mesh) serve(ctx context.Context, conn *websocket.Conn, state *tls.ConnectionState) {
	conn.SetReadLimit(MaxFrameBytes)
	defer conn.CloseNow()
	remote, err := m.greet(ctx, conn)
	if err == nil {
		err = verifyInstance(state, remote.Instance)
	}
	if err != nil {
		eventLinkRejected.LogError(m.logger, err)
		return
	}
	l := newLink(conn, remote.Instance, &m.counters)
	l.keepIdle = m.keepIdle
	m.add(l)
	defer m.remove(l)
	eventLinkUp.Log(m.logger, "peer", remote.Instance, "address", remote.Address)
	if m.onUp != nil {
		m.onUp(platform.Instance{
			ID: remote.Instance, Peer: remote.Address,
			FailureDomain: remote.FailureDomain, State: platform.InstanceLive,
		}, remote.Known)
	}
	err = l.run(ctx, m.deliver)
	eventLinkDown.Log(m.logger, "peer", remote.Instance, "cause", eris.ToString(err, false))
}

// greet sends this side's hello and reads the other's.
func (m *Mesh) greet(ctx context.Context, conn *websocket.Conn) (hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	own, err := cbor.Marshal(m.hello())
	if err != nil {
		return hello{}, eris.Wrap(err, "encode hello")
	}
	if err := conn.Write(ctx, websocket.MessageBinary, own); err != nil {
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
		return hello{}, eris.Errorf("peer at %s uses this instance's identifier", remote.Address)
	}
	return remote, nil
}

// hello describes this instance.
func (m *Mesh) hello() hello {
	h := hello{Instance: m.cfg.Instance, FailureDomain: m.cfg.FailureDomain, Address: m.cfg.Address}
	if m.cfg.Known == nil {
		return h
	}
	if known := m.cfg.Known(); len(known) <= maxToldInstances {
		h.Known = known
	}
	return h
}

// deliver hands a frame to the receiver of its kind.
func (m *Mesh) deliver(from topology.InstanceID, data []byte) error {
	f, err := decodeFrame(data)
	if err != nil {
		return eris.Wrapf(err, "read from %s", from)
	}
	m.counters.ReceivedFrames.Add(1)
	m.counters.ReceivedBytes.Add(uint64(len(data)))
	if receiver := m.receivers[f.Kind]; receiver != nil {
		receiver(from, f.Payload)
	}
	return nil
}

func (m *Mesh) add(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.mu.demand, l.peer)
	m.mu.links[l.peer] = append(m.mu.links[l.peer], l)
}

func (m *Mesh) remove(l *link) {
	m.mu.Lock()
	rest := slices.DeleteFunc(m.mu.links[l.peer], func(other *link) bool { return other == l })
	if len(rest) > 0 {
		m.mu.links[l.peer] = rest
	} else {
		delete(m.mu.links, l.peer)
	}
	m.mu.Unlock()
	if len(rest) == 0 && m.onDown != nil {
		m.onDown(l.peer)
	}
}
