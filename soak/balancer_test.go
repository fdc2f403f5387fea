package soak

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
)

// Two misses in a row take a daemon out of rotation, and a success brings it back. All
// daemons are used if fewer than half are in rotation.
func TestBalancerRotation(t *testing.T) {
	var ready atomic.Bool
	handler := func(ready func() bool) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
	}
	changing := httptest.NewServer(handler(ready.Load))
	defer changing.Close()
	steady := httptest.NewServer(handler(func() bool { return true }))
	defer steady.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	b := newBalancer([]*daemon{{readinessAddress: address(changing)}, {readinessAddress: address(steady)}, {readinessAddress: address(changing)}})
	expect := func(step string, want ...int) {
		t.Helper()
		if got := b.rotation(); !slices.Equal(got, want) {
			t.Errorf("%s: %v in rotation, want %v", step, got, want)
		}
	}
	b.probe(0)
	expect("one miss", 0, 1, 2)
	b.probe(0)
	expect("two misses", 1, 2)
	b.probe(2)
	b.probe(2)
	expect("one of three in rotation", 0, 1, 2)
	ready.Store(true)
	b.probe(2)
	expect("a success", 1, 2)
}
