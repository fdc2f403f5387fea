package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ProxyMode is how a FaultProxy treats the data of its connections.
type ProxyMode uint8

// Modes of a FaultProxy.
const (
	// Forward forwards data unchanged.
	Forward ProxyMode = iota
	// Delay forwards each chunk of data after forwardDelay.
	Delay
	// DropAll discards data in both directions and keeps connections open.
	DropAll
	// DropResponses discards only data from the server.
	DropResponses
	// CloseConnections closes all connections and refuses new ones.
	CloseConnections
)

var modeNames = [...]string{"pass", "slow", "silent", "deaf", "reset"}

// String returns the name of the mode.
func (m ProxyMode) String() string { return modeNames[m] }

const (
	// forwardDelay is the added latency of each chunk in mode Delay.
	forwardDelay = 120 * time.Millisecond
	// bufferBytes is the size of the largest chunk that is forwarded.
	bufferBytes = 32 << 10
)

// FaultProxy is a TCP proxy on loopback that injects network faults on the way to one
// server. A change of its mode applies to open connections as well. It is safe for
// concurrent use.
type FaultProxy struct {
	listener      net.Listener
	serverAddress string
	// mu guards the fields below.
	mu   sync.Mutex
	mode ProxyMode
	// connections holds both sides of every proxied connection.
	connections map[net.Conn]bool
}

// StartFaultProxy starts a proxy to a server, in mode Forward, on a free port.
func StartFaultProxy(serverAddress string) (*FaultProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a proxy")
	}
	p := &FaultProxy{listener: listener, serverAddress: serverAddress, connections: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *FaultProxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. CloseConnections closes the open connections
// immediately.
func (p *FaultProxy) SetMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != CloseConnections {
		return
	}
	for conn := range p.connections {
		_ = conn.Close() // ends the copying in both directions
	}
}

func (p *FaultProxy) currentMode() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Close stops the proxy and closes its connections.
func (p *FaultProxy) Close() {
	_ = p.listener.Close() // nothing else uses the listener
	p.SetMode(CloseConnections)
}

// accept proxies new connections until the listener is closed.
func (p *FaultProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.forward(conn)
	}
}

// forward connects to the server and copies data until either side closes.
func (p *FaultProxy) forward(client net.Conn) {
	defer client.Close()
	if p.currentMode() == CloseConnections {
		return
	}
	server, err := net.Dial("tcp", p.serverAddress)
	if err != nil {
		return // closes the client's connection, since the server refused it
	}
	defer server.Close()
	p.track(client, server)
	defer p.untrack(client, server)
	done := make(chan struct{}, 2)
	go p.copy(server, client, false, done)
	go p.copy(client, server, true, done)
	<-done
}

func (p *FaultProxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.connections[conn] = true
	}
}

func (p *FaultProxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.connections, conn)
	}
}

// copy copies one direction, subject to the mode, until either side is closed. It then
// sends on done. The direction from the server to the client has responses set.
func (p *FaultProxy) copy(destination, source net.Conn, responses bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		switch mode := p.currentMode(); {
		case mode == DropAll || mode == DropResponses && responses:
			continue
		case mode == Delay:
			time.Sleep(forwardDelay)
		}
		if _, err := destination.Write(buffer[:n]); err != nil {
			return
		}
	}
}
