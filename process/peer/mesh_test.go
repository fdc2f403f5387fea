package peer

import (
	"bytes"
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

// textMessage is the payload of the tests' messages.
type textMessage struct {
	Text string `cbor:"1,keyasint"`
}

// startMesh runs a mesh behind an HTTP server on a loopback address.
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

// TestMessagesCrossLinkInBothDirections connects two instances, of which one
// knows the other's address as a seed, and sends a message in each direction.
func TestMessagesCrossLinkInBothDirections(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, instanceA := startMesh(ctx, t, "a")
	b, instanceB := startMesh(ctx, t, "b", instanceA.Peer)
	received := make(chan string, 16)
	receive := func(from topology.InstanceID, payload []byte) {
		var message textMessage
		if err := cbor.Unmarshal(payload, &message); err != nil {
			t.Errorf("payload from %s: %v", from, err)
		}
		received <- string(from) + ":" + message.Text
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
		if got := sendUntilReceived(ctx, t, exchange.from, exchange.to, received); got != exchange.want {
			t.Fatalf("received %q, want %q", got, exchange.want)
		}
	}
}

// sendUntilReceived repeats a message until one arrives, since messages sent
// before the link is up are dropped.
func sendUntilReceived(ctx context.Context, t *testing.T, from *Mesh, to topology.InstanceID, received chan string) string {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	prefix := string(from.cfg.Instance) + ":"
	for {
		from.Send(to, KindConfig, textMessage{Text: "x"})
		select {
		case got := <-received:
			if strings.HasPrefix(got, prefix) {
				return got
			}
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatal("no message arrived")
		}
	}
}

// TestLargeFleetDialsPeersOnDemand checks that in a fleet too large for a full
// mesh only peers that a message is for are dialed.
func TestLargeFleetDialsPeersOnDemand(t *testing.T) {
	m := New(Config{Instance: "m"}, logr.Discard())
	var fleet []platform.Instance
	for i := range fullMeshInstances + 8 {
		id := topology.InstanceID(fmt.Sprintf("i%02d", i))
		fleet = append(fleet, platform.Instance{ID: id, Peer: string(id) + ":1"})
	}
	m.SetPeers(fleet)
	if got := m.addressesToDial(3); len(got) != 0 {
		t.Fatalf("dials %v without a message for them", got)
	}
	m.Send("i05", KindConfig, textMessage{Text: "x"})
	if got := m.addressesToDial(0); len(got) != 1 || got[0] != "i05:1" {
		t.Fatalf("dials %v, want i05:1", got)
	}
	m.SetPeers(fleet[:8])
	if got := m.addressesToDial(3); len(got) != 8 {
		t.Fatalf("a small fleet dials %d of 8", len(got))
	}
}

func TestSendWithoutLinkCountsAsDropped(t *testing.T) {
	m := New(Config{Instance: "a"}, logr.Discard())
	m.Send("b", KindConfig, textMessage{Text: "x"})
	if got := m.Counters().Dropped.Load(); got != 1 {
		t.Fatalf("dropped %d, want 1", got)
	}
}

func TestHelloWithoutInstanceIsRejected(t *testing.T) {
	data, err := cbor.Marshal(hello{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeHello(data); err == nil {
		t.Fatal("accepted a hello without an instance ID")
	}
}

func FuzzDecodeFrame(f *testing.F) {
	seed, err := encodeFrame(KindConfig, textMessage{Text: "x"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeFrame(data)
		_, _ = decodeHello(data)
	})
}

// A payload is opaque to the link: its strings may hold bytes that are not UTF-8.
func TestFrameKeepsPayloadWithAnyBytes(t *testing.T) {
	data, err := encodeFrame(KindRelay, textMessage{Text: "\xff\r\n\x00"})
	if err != nil {
		t.Fatal(err)
	}
	f, err := decodeFrame(data)
	if err != nil || f.Kind != KindRelay || !bytes.Equal(f.Payload, []byte("\xa1\x01\x64\xff\r\n\x00")) {
		t.Fatalf("decoded %+v, %v", f, err)
	}
}
