package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/settings"
)

// peerHeaderTimeout bounds the HTTP request that opens a link.
const peerHeaderTimeout = 5 * time.Second

// listeners are the sockets that a daemon accepts on.
type listeners struct {
	callers, peers, admin net.Listener
}

// open listens on every address, or on none.
func (l *listeners) open(s *settings.Settings) error {
	for _, socket := range []struct {
		address  string
		listener *net.Listener
	}{{s.Listen.Callers, &l.callers}, {s.Listen.Peers, &l.peers}, {s.Listen.Admin, &l.admin}} {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			l.close()
			return eris.Wrapf(err, "listen on %s", socket.address)
		}
		*socket.listener = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// peerAddress is where peers reach this instance. A listener on port 0 is told
// by the port it got.
func (l *listeners) peerAddress(s *settings.Settings) string {
	if s.Advertise.Peers != "" {
		return s.Advertise.Peers
	}
	return l.peers.Addr().String()
}

// securePeers puts TLS on the listener for peers when the settings name a
// certificate, and returns the identity for links.
func (l *listeners) securePeers(pair *settings.KeyPair) (*peer.Identity, error) {
	if pair == nil {
		return nil, nil
	}
	identity, err := peer.LoadIdentity(pair.Certificate, pair.Key, pair.Authority)
	if err != nil {
		return nil, err
	}
	l.peers = tls.NewListener(l.peers, identity.ServerConfig())
	return identity, nil
}

// servePeers accepts links from peers until ctx ends.
func (d *Daemon) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(peer.MeshPath, d.mesh)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: peerHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(d.listeners.peers)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return eris.Wrap(err, "serve peers")
}
