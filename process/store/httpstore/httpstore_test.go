package httpstore

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/memstore"
)

func newClientAndStore(t *testing.T) (*Client, *memstore.Store) {
	mem := memstore.New(memstore.Config{WatchWait: time.Millisecond})
	server := httptest.NewServer(Handler(mem))
	t.Cleanup(server.Close)
	client := New(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(client.Close)
	return client, mem
}

func TestCallsReachTheStore(t *testing.T) {
	client, _ := newClientAndStore(t)
	ctx := t.Context()
	lease, err := client.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := client.CompareAndSwap(ctx, store.Swap{Key: "a/b", Value: []byte{0, 1}, Lease: lease})
	if err != nil {
		t.Fatal(err)
	}
	entry, err := client.Get(ctx, "a/b")
	if err != nil || string(entry.Value) != "\x00\x01" || entry.Lease != lease || entry.Revision != revision {
		t.Fatalf("got %+v, %v", entry, err)
	}
	listing, err := client.List(ctx, "a/")
	if err != nil || len(listing.Entries) != 1 || listing.Revision != revision {
		t.Fatalf("got %+v, %v", listing, err)
	}
	if err := client.KeepAlive(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if err := client.Revoke(ctx, lease); err != nil {
		t.Fatal(err)
	}
	changes, last, err := client.Watch(ctx, "a/", revision)
	if err != nil || len(changes) != 1 || !changes[0].Deleted || last != revision+1 {
		t.Fatalf("got %v up to %d, %v", changes, last, err)
	}
}

func TestErrorsSurviveTheWire(t *testing.T) {
	client, mem := newClientAndStore(t)
	ctx := t.Context()
	_, notFound := client.Get(ctx, "a")
	_, conflict := client.CompareAndSwap(ctx, store.Swap{Key: "a", Expect: 9})
	_, tooLarge := client.CompareAndSwap(ctx, store.Swap{Key: "a", Value: make([]byte, store.MaxValueBytes+1)})
	expired := client.KeepAlive(ctx, 77)
	mem.SetFaults(memstore.Faults{Down: true})
	_, unavailable := client.List(ctx, "")
	for _, c := range []struct{ got, want error }{
		{notFound, store.ErrNotFound},
		{conflict, store.ErrConflict},
		{tooLarge, store.ErrTooLarge},
		{expired, store.ErrLeaseExpired},
		{unavailable, store.ErrUnavailable},
	} {
		if !errors.Is(c.got, c.want) {
			t.Errorf("got %v, want %v", c.got, c.want)
		}
	}
}

func TestMissingResponseMeansUnavailable(t *testing.T) {
	server := httptest.NewServer(nil)
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := New(address).Get(t.Context(), "a")
	if !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}
