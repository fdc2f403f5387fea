package soak

import "testing"

// Two runs that allocate ports at the same time never get the same port.
func TestConcurrentRunsGetDistinctPorts(t *testing.T) {
	var a, b portAllocator
	defer a.close()
	defer b.close()
	allocated := make(map[int]bool)
	for range 40 {
		for _, p := range []*portAllocator{&a, &b} {
			base, err := p.allocate(portsPerDaemon)
			if err != nil {
				t.Fatal(err)
			}
			for port := base; port < base+portsPerDaemon; port++ {
				if allocated[port] {
					t.Fatalf("port %d was allocated twice", port)
				}
				allocated[port] = true
			}
		}
	}
}
