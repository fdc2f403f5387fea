package client

import (
	"bytes"
	"encoding/binary"
	"math/bits"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Primes of XXH64.
const (
	prime1 = 11400714785074694791
	prime2 = 14029467366897019727
)

// collidingShapes returns two texts with the same XXH64. The first of its four lanes, which
// starts at prime1+prime2, takes 8 bytes of each block of 32: a change in the first block is
// made up for in the second.
func collidingShapes() (string, string) {
	lane := func(input uint64) uint64 {
		return bits.RotateLeft64(input*prime2+prime1+prime2, 31) * prime1
	}
	inverse := uint64(prime2) // by Newton's iteration: x = x(2 - ax)
	for range 6 {
		inverse *= 2 - prime2*inverse
	}
	first := bytes.Repeat([]byte("a"), 64)
	for change := uint64(1); ; change++ {
		second := bytes.Clone(first)
		firstLane := binary.LittleEndian.Uint64(first)
		binary.LittleEndian.PutUint64(second, firstLane+change)
		makeUp := (lane(firstLane) - lane(firstLane+change)) * inverse
		binary.LittleEndian.PutUint64(second[32:], binary.LittleEndian.Uint64(first[32:])+makeUp)
		if !bytes.ContainsAny(second, "\r\n") {
			return string(first), string(second)
		}
	}
}

// Guards against two shapes that share a name on targets: a statement would execute the shape
// of another customer, who has chosen it for its hash.
func TestShapesWithTheSameHashHaveDifferentNames(t *testing.T) {
	a, b := collidingShapes()
	if a == b || xxhash.Sum64String(a) != xxhash.Sum64String(b) {
		t.Fatalf("%q and %q do not collide", a, b)
	}
	if (PreparedStatement{Shape: a}).targetName() == (PreparedStatement{Shape: b}).targetName() {
		t.Errorf("%q and %q have the same name", a, b)
	}
	if (PreparedStatement{Shape: a}).targetName() == (PreparedStatement{Shape: a, Writes: true}).targetName() {
		t.Error("a read and a write have the same name")
	}
}
