package peer

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// linkedPair returns two linked meshes, the payloads that the second receives, and the peers
// whose last link either has lost.
func linkedPair(t *testing.T) (a, b *Mesh, received chan []byte, lost chan topology.InstanceID) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	received, lost = make(chan []byte, sendQueueFrames), make(chan topology.InstanceID, sendQueueFrames)
	a, instanceA := startMesh(ctx, t, "a")
	b, instanceB := startMesh(ctx, t, "b", instanceA.Peer)
	b.Handle(KindConfig, func(_ topology.InstanceID, payload []byte) { received <- payload })
	a.OnLinkDown(func(id topology.InstanceID) { lost <- id })
	b.OnLinkDown(func(id topology.InstanceID) { lost <- id })
	a.SetPeers([]platform.Instance{instanceA, instanceB})
	b.SetPeers([]platform.Instance{instanceA, instanceB})
	for !a.Reachable("b") || !b.Reachable("a") {
		time.Sleep(time.Millisecond) // until the link is up
	}
	return a, b, received, lost
}

// next returns the next payload that crosses the link.
func next(t *testing.T, received chan []byte, lost chan topology.InstanceID) []byte {
	t.Helper()
	select {
	case payload := <-received:
		return payload
	case id := <-lost:
		t.Fatalf("the link to %s went down", id)
	case <-time.After(testTimeout):
		t.Fatal("no message arrived")
	}
	return nil
}

// A frame over the limit closed the link, and with it every exchange on it.
func TestMessageThatIsTooLargeDoesNotEndTheLink(t *testing.T) {
	a, _, received, lost := linkedPair(t)
	tooLarge := []any{bytes.Repeat([]byte("x"), MaxFrameBytes), make([]int, 1<<20), make([]string, 1<<18)}
	for _, payload := range tooLarge {
		if _, err := EncodePayload(payload); !errors.Is(err, ErrTooLarge) {
			t.Errorf("error %v", err)
		}
		a.Send("b", KindConfig, payload)
	}
	a.Send("b", KindConfig, "next")
	if payload := next(t, received, lost); string(payload) != "\x64next" {
		t.Errorf("received a payload of %d bytes", len(payload))
	}
}

func TestLargestPayloadCrossesLink(t *testing.T) {
	a, _, received, lost := linkedPair(t)
	content := bytes.Repeat([]byte("x"), MaxFrameBytes-frameHeaderBytes-5) // after the length of the string
	encoded, err := EncodePayload(content)
	if err != nil || len(encoded) != MaxFrameBytes-frameHeaderBytes {
		t.Fatalf("%d bytes, %v", len(encoded), err)
	}
	a.Send("b", KindConfig, encoded)
	var got []byte
	if err := cbor.Unmarshal(next(t, received, lost), &got); err != nil || !bytes.Equal(got, content) {
		t.Errorf("received %d bytes, %v", len(got), err)
	}
}
