package soak

import "testing"

// Runs side by side get different ports.
func TestPortsAreNotSharedBetweenRuns(t *testing.T) {
	var a, b ports
	defer a.close()
	defer b.close()
	taken := make(map[int]bool)
	for range 40 {
		for _, p := range []*ports{&a, &b} {
			base, err := p.take(portsPerDaemon)
			if err != nil {
				t.Fatal(err)
			}
			for port := base; port < base+portsPerDaemon; port++ {
				if taken[port] {
					t.Fatalf("port %d was handed out twice", port)
				}
				taken[port] = true
			}
		}
	}
}
