package loopback

import "testing"

const portsPerInstance = 4

// Two runs that allocate ports at the same time never get the same port.
func TestConcurrentRunsGetDistinctPorts(t *testing.T) {
	var a, b Ports
	defer a.Close()
	defer b.Close()
	allocated := make(map[int]bool)
	for range 40 {
		for _, p := range []*Ports{&a, &b} {
			base, err := p.Allocate(portsPerInstance)
			if err != nil {
				t.Fatal(err)
			}
			for port := base; port < base+portsPerInstance; port++ {
				if allocated[port] {
					t.Fatalf("port %d was allocated twice", port)
				}
				allocated[port] = true
			}
		}
	}
}
