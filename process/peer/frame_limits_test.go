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

// linkedPair returns a mesh that is linked to instance b, the payloads that b receives, and the
// peers whose last link either has lost.
func linkedPair(t *testing.T) (a *Mesh, received chan []byte, lost chan topology.InstanceID) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	received, lost = make(chan []byte, sendQueueFrames), make(chan topology.InstanceID, sendQueueFrames)
	a, instanceA := startMesh(ctx, t, "a")
	b, instanceB := startMesh(ctx, t, "b", instanceA.Peer)
	t.Cleanup(cancel) // before the cleanups of the meshes, which wait for it
	b.Handle(KindConfig, func(_ topology.InstanceID, payload []byte) { received <- payload })
	a.OnLinkDown(func(id topology.InstanceID) { lost <- id })
	b.OnLinkDown(func(id topology.InstanceID) { lost <- id })
	a.SetPeers([]platform.Instance{instanceA, instanceB})
	b.SetPeers([]platform.Instance{instanceA, instanceB})
	for !a.Reachable("b") || !b.Reachable("a") {
		time.Sleep(time.Millisecond) // until the link is up
	}
	return a, received, lost
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
	a, received, lost := linkedPair(t)
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
	a, received, lost := linkedPair(t)
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

// A frame that could not be decoded closed the link, and with it every exchange on it.
func TestFrameThatCannotBeDecodedDoesNotEndTheLink(t *testing.T) {
	a, received, lost := linkedPair(t)
	manyItems, err := cbor.Marshal(frame{Kind: KindConfig, Payload: append([]byte{0x9a, 0, 4, 0, 0}, make([]byte, 1<<18)...)})
	if err != nil {
		t.Fatal(err)
	}
	valid, err := encodeFrame(KindConfig, "trailing bytes")
	if err != nil {
		t.Fatal(err)
	}
	invalid := [][]byte{nil, {0xff}, []byte("\xa1"), []byte("a line\r\n"), manyItems, append(valid, 0), []byte("\xa2\x01\x19\x01\x00\x02\x00"), []byte("\xa2\x01\x02\x02\x5a\xff\xff\xff\xff")}
	for _, data := range invalid {
		a.newestLink("b").enqueue(data)
	}
	a.Send("b", KindConfig, "next")
	if payload := next(t, received, lost); string(payload) != "\x64next" {
		t.Errorf("received %.20q", payload)
	}
}
