package soak

import (
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

// Ports that are handed out, below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
	// blockPorts is the size of a block, whose first port its owner keeps open so that
	// no other run takes the block.
	blockPorts = 64
)

// ports hands out ports on which nobody listens, to one run.
type ports struct {
	locks     []net.Listener
	next, end int
}

func (p *ports) close() {
	for _, lock := range p.locks {
		_ = lock.Close() // it only kept others away
	}
}

// take returns the first of some consecutive ports.
func (p *ports) take(count int) (int, error) {
	for {
		for ; p.next+count <= p.end; p.next += count {
			if free(p.next, count) {
				p.next += count
				return p.next - count, nil
			}
		}
		if err := p.lockBlock(); err != nil {
			return 0, err
		}
	}
}

// lockBlock takes another block.
func (p *ports) lockBlock() error {
	for base := max(firstPort, p.end); base < lastPort; base += blockPorts {
		if lock, err := listen(base); err == nil {
			p.locks = append(p.locks, lock)
			p.next, p.end = base+1, base+blockPorts
			return nil
		}
	}
	return eris.New("no free ports")
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

func free(base, count int) bool {
	for port := base; port < base+count; port++ {
		listener, err := listen(port)
		if err != nil {
			return false
		}
		_ = listener.Close() // it was opened to see that it can be
	}
	return true
}
