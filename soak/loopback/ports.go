// Package loopback allocates loopback ports to the instances of test deployments.
package loopback

import (
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

// Range of the ports that are allocated, from minPort up to but not including endPort. It
// is below the ephemeral ports, which the system assigns to outgoing connections.
const (
	minPort = 20000
	endPort = 32000
	// blockSize is the number of ports in a block. A run reserves a block by listening
	// on its first port.
	blockSize = 64
)

// Ports allocates free loopback ports to the daemons of one run. Concurrent runs,
// also in other processes, reserve different blocks and so never get the same port. The
// zero value is ready for use. It is not safe for concurrent use.
type Ports struct {
	// blockLocks are the listeners that reserve this run's blocks.
	blockLocks []net.Listener
	// next and end bound the ports of the current block that are not allocated yet.
	next, end int
}

// Close releases the reserved blocks.
func (p *Ports) Close() {
	for _, lock := range p.blockLocks {
		_ = lock.Close() // it served only as a reservation
	}
}

// Allocate returns the first of count consecutive free ports.
func (p *Ports) Allocate(count int) (int, error) {
	for {
		for ; p.next+count <= p.end; p.next += count {
			if allFree(p.next, count) {
				p.next += count
				return p.next - count, nil
			}
		}
		if err := p.reserveBlock(); err != nil {
			return 0, err
		}
	}
}

// reserveBlock reserves the next block that no other run has reserved.
func (p *Ports) reserveBlock() error {
	for base := max(minPort, p.end); base < endPort; base += blockSize {
		if lock, err := listenLoopback(base); err == nil {
			p.blockLocks = append(p.blockLocks, lock)
			p.next, p.end = base+1, base+blockSize
			return nil
		}
	}
	return eris.New("no free block of ports")
}

func listenLoopback(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

func allFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		listener, err := listenLoopback(port)
		if err != nil {
			return false
		}
		_ = listener.Close() // opened only to test the port
	}
	return true
}
