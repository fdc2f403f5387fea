package caller

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync"
)

// registryShards divides the open sessions; each shard has its own lock.
const registryShards = 64

// secretBytes is the length of a cancel secret in protocol 3.0.
const secretBytes = 4

// registry holds the open sessions by the process id that callers see.
type registry struct {
	shards [registryShards]struct {
		sync.Mutex
		sessions map[uint32]*connection
	}
}

// add gives the connection an unused id and a secret.
func (r *registry) add(c *connection) {
	var random [lengthBytes + secretBytes]byte
	for {
		_, _ = rand.Read(random[:])
		c.session.ID = binary.BigEndian.Uint32(random[:]) >> 1
		copy(c.secret[:], random[lengthBytes:])
		if c.session.ID != 0 && r.insert(c) {
			return
		}
	}
}

func (r *registry) insert(c *connection) bool {
	id := c.session.ID
	shard := &r.shards[id%registryShards]
	shard.Lock()
	defer shard.Unlock()
	if _, taken := shard.sessions[id]; taken {
		return false
	}
	if shard.sessions == nil {
		shard.sessions = make(map[uint32]*connection)
	}
	shard.sessions[id] = c
	return true
}

// remove forgets the connection.
func (r *registry) remove(c *connection) {
	shard := &r.shards[c.session.ID%registryShards]
	shard.Lock()
	defer shard.Unlock()
	delete(shard.sessions, c.session.ID)
}

// find returns the connection with the id when the secret is right.
func (r *registry) find(id uint32, secret []byte) *connection {
	shard := &r.shards[id%registryShards]
	shard.Lock()
	defer shard.Unlock()
	c := shard.sessions[id]
	if c == nil || subtle.ConstantTimeCompare(c.secret[:], secret) != 1 {
		return nil
	}
	return c
}

// each calls visit for every connection, outside of the locks.
func (r *registry) each(visit func(*connection)) {
	for i := range r.shards {
		for _, c := range r.snapshot(i) {
			visit(c)
		}
	}
}

func (r *registry) snapshot(index int) []*connection {
	shard := &r.shards[index]
	shard.Lock()
	defer shard.Unlock()
	all := make([]*connection, 0, len(shard.sessions))
	for _, c := range shard.sessions {
		all = append(all, c)
	}
	return all
}
