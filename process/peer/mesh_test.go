package peer

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

const testTimeout = 20 * time.Second

type note struct {
	Text string `cbor:"1,keyasint"`
}

// startMesh runs a mesh behind an HTTP server on loopback.
func startMesh(ctx context.Context, t *testing.T, id topology.InstanceID, seeds ...string) (*Mesh, platform.Instance) {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	m := New(Config{Instance: id, Address: address, Seeds: seeds}, logr.Discard())
	server.Config.Handler = m
	server.Start()
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { <-done; server.Close() })
	return m, platform.Instance{ID: id, Peer: address}
}

func TestMessagesCrossALinkInBothDirections(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, instanceA := startMesh(ctx, t, "a")
	b, instanceB := startMesh(ctx, t, "b", instanceA.Peer)
	heard := make(chan string, 16)
	receive := func(from topology.InstanceID, payload []byte) {
		var n note
		if err := cbor.Unmarshal(payload, &n); err != nil {
			t.Errorf("payload from %s: %v", from, err)
		}
		heard <- string(from) + ":" + n.Text
	}
	a.Handle(KindConfig, receive)
	b.Handle(KindConfig, receive)
	a.SetPeers([]platform.Instance{instanceA, instanceB})
	b.SetPeers([]platform.Instance{instanceA, instanceB})
	for _, exchange := range []struct {
		from *Mesh
		to   topology.InstanceID
		want string
	}{{a, "b", "a:x"}, {b, "a", "b:x"}} {
		if got := sendUntilHeard(ctx, t, exchange.from, exchange.to, heard); got != exchange.want {
			t.Fatalf("heard %q, want %q", got, exchange.want)
		}
	}
}

// sendUntilHeard repeats a message until one arrives, since messages sent before
// the link is up are dropped.
func sendUntilHeard(ctx context.Context, t *testing.T, from *Mesh, to topology.InstanceID, heard chan string) string {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	prefix := string(from.cfg.Instance) + ":"
	for {
		from.Send(to, KindConfig, note{Text: "x"})
		select {
		case got := <-heard:
			if strings.HasPrefix(got, prefix) {
				return got
			}
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatal("no message arrived")
		}
	}
}

func TestALargeFleetDialsOnlyPeersThatAMessageIsFor(t *testing.T) {
	m := New(Config{Instance: "m"}, logr.Discard())
	var fleet []platform.Instance
	for i := range fullMeshInstances + 8 {
		id := topology.InstanceID(fmt.Sprintf("i%02d", i))
		fleet = append(fleet, platform.Instance{ID: id, Peer: string(id) + ":1"})
	}
	m.SetPeers(fleet)
	if got := m.missing(3); len(got) != 0 {
		t.Fatalf("dials %v without need", got)
	}
	m.Send("i05", KindConfig, note{Text: "x"})
	if got := m.missing(0); len(got) != 1 || got[0] != "i05:1" {
		t.Fatalf("dials %v, want i05:1", got)
	}
	m.SetPeers(fleet[:8])
	if got := m.missing(3); len(got) != 8 {
		t.Fatalf("a small fleet dials %d of 8", len(got))
	}
}

func TestSendToAPeerWithoutLinkIsCountedAsDropped(t *testing.T) {
	m := New(Config{Instance: "a"}, logr.Discard())
	m.Send("b", KindConfig, note{Text: "x"})
	if got := m.Counters().Dropped.Load(); got != 1 {
		t.Fatalf("dropped %d, want 1", got)
	}
}

func TestHelloWithoutAnInstanceIsRefused(t *testing.T) {
	data, err := cbor.Marshal(hello{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeHello(data); err == nil {
		t.Fatal("accepted a hello that names no instance")
	}
}

func FuzzDecodeFrame(f *testing.F) {
	seed, err := encodeFrame(KindConfig, note{Text: "x"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeFrame(data)
		_, _ = decodeHello(data)
	})
}
