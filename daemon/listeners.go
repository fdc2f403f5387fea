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

// peerHeaderTimeout bounds reading the headers of the HTTP request that opens a link.
const peerHeaderTimeout = 5 * time.Second

// listeners holds the listening sockets of a daemon.
type listeners struct {
	callers, peers, admin net.Listener
}

// open opens all listeners. On an error it closes those that it has opened.
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

// peerAddress returns the address that peers connect to: the advertised one, or else
// that of the listener, which contains the assigned port if the settings say port 0.
func (l *listeners) peerAddress(s *settings.Settings) string {
	if s.Advertise.Peers != "" {
		return s.Advertise.Peers
	}
	return l.peers.Addr().String()
}

// enablePeerTLS wraps the listener for peers in TLS and returns the identity for
// outgoing links. It does nothing and returns nil if the settings name no key pair.
func (l *listeners) enablePeerTLS(keyPair *settings.KeyPair) (*peer.Identity, error) {
	if keyPair == nil {
		return nil, nil
	}
	identity, err := peer.LoadIdentity(keyPair.Certificate, keyPair.Key, keyPair.Authority)
	if err != nil {
		return nil, err
	}
	l.peers = tls.NewListener(l.peers, identity.ServerConfig())
	return identity, nil
}

// servePeers accepts links from peers until ctx is done.
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
