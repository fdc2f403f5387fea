package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Way is how a proxy treats bytes.
type Way uint8

// Ways of treating bytes.
const (
	// Pass forwards them.
	Pass Way = iota
	// Slow forwards them late.
	Slow
	// Silent drops what comes from both sides and keeps the connections.
	Silent
	// Deaf drops what the server answers only.
	Deaf
	// Reset closes connections, also new ones.
	Reset
)

var wayNames = [...]string{"pass", "slow", "silent", "deaf", "reset"}

// String names the way.
func (w Way) String() string { return wayNames[w] }

const (
	// slowness is how late a slow proxy forwards.
	slowness = 120 * time.Millisecond
	// proxyBuffer is how many bytes are forwarded at once.
	proxyBuffer = 32 << 10
)

// Proxy forwards loopback connections to one address.
type Proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	way      Way
	open     map[net.Conn]bool
}

// StartProxy starts a proxy to an address.
func StartProxy(to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a proxy")
	}
	p := &Proxy{listener: listener, to: to, open: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes how bytes are treated from now on.
func (p *Proxy) Set(way Way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = way
	if way != Reset {
		return
	}
	for conn := range p.open {
		_ = conn.Close() // both copies end with it
	}
}

func (p *Proxy) now() Way {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing depends on it any more
	p.Set(Reset)
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.forward(conn)
	}
}

func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	if p.now() == Reset {
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		return // the client sees its connection end, as without a proxy
	}
	defer server.Close()
	p.track(client, server)
	defer p.forget(client, server)
	done := make(chan struct{}, 2)
	go p.copy(server, client, false, done)
	go p.copy(client, server, true, done)
	<-done
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.open[conn] = true
	}
}

func (p *Proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
	}
}

// copy forwards one direction until either side ends.
func (p *Proxy) copy(to, from net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch way := p.now(); {
		case way == Silent || way == Deaf && answers:
			continue
		case way == Slow:
			time.Sleep(slowness)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
