package soak

import (
	"net/http"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two readiness probes of a daemon, and the time
	// that it may take to respond.
	probeInterval = time.Second
	// maxMissedProbes is the number of consecutive misses that take a daemon out of
	// rotation.
	maxMissedProbes = 2
)

// balancer probes the readiness of the daemons and selects those that may get new
// connections, as the platform does. It is safe for concurrent use.
type balancer struct {
	daemons []*daemon
	client  http.Client
	// mu guards missed.
	mu sync.Mutex
	// missed counts each daemon's consecutive missed probes.
	missed []int
}

func newBalancer(daemons []*daemon) *balancer {
	return &balancer{daemons: daemons, client: http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}, missed: make([]int, len(daemons))}
}

// run probes all daemons until stop is closed.
func (b *balancer) run(stop <-chan struct{}) {
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		for i := range b.daemons {
			probes.Go(func() { b.probe(i) })
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// probe probes one daemon.
func (b *balancer) probe(number int) {
	response, err := b.client.Get("http://" + b.daemons[number].readinessAddress + "/api/ready")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close() // the body is not used
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.missed[number]++
	if ready {
		b.missed[number] = 0
	}
}

// rotation returns the numbers of the daemons that may get new connections: all of them if
// fewer than half are in rotation.
func (b *balancer) rotation() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inRotation, all []int
	for i, missed := range b.missed {
		all = append(all, i)
		if missed < maxMissedProbes {
			inRotation = append(inRotation, i)
		}
	}
	if 2*len(inRotation) < len(all) {
		return all
	}
	return inRotation
}
