package caller

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync"
)

// registryShards is the number of shards. Each has its own lock, which reduces lock
// contention.
const registryShards = 64

// cancelSecretBytes is the length of a cancel request's secret key in protocol
// 3.0.
const cancelSecretBytes = 4

// sessionRegistry holds the connections with an open session by session ID, which
// callers see as the process ID. It is safe for concurrent use.
type sessionRegistry struct {
	shards [registryShards]struct {
		sync.Mutex
		sessions map[uint32]*connection
	}
}

// add assigns the connection an unused session ID and a random cancel secret, and
// registers it.
func (r *sessionRegistry) add(c *connection) {
	var random [headerLengthBytes + cancelSecretBytes]byte
	for {
		_, _ = rand.Read(random[:])
		c.session.ID = binary.BigEndian.Uint32(random[:]) >> 1
		copy(c.cancelSecret[:], random[headerLengthBytes:])
		if c.session.ID != 0 && r.insert(c) {
			return
		}
	}
}

// insert registers the connection. It returns false if the connection's session ID is in
// use.
func (r *sessionRegistry) insert(c *connection) bool {
	id := c.session.ID
	shard := &r.shards[id%registryShards]
	shard.Lock()
	defer shard.Unlock()
	if _, exists := shard.sessions[id]; exists {
		return false
	}
	if shard.sessions == nil {
		shard.sessions = make(map[uint32]*connection)
	}
	shard.sessions[id] = c
	return true
}

// remove unregisters the connection.
func (r *sessionRegistry) remove(c *connection) {
	shard := &r.shards[c.session.ID%registryShards]
	shard.Lock()
	defer shard.Unlock()
	delete(shard.sessions, c.session.ID)
}

// find returns the connection with the session ID, or nil if there is none or the
// secret is wrong. The comparison takes constant time.
func (r *sessionRegistry) find(id uint32, secret []byte) *connection {
	shard := &r.shards[id%registryShards]
	shard.Lock()
	defer shard.Unlock()
	c := shard.sessions[id]
	if c == nil || subtle.ConstantTimeCompare(c.cancelSecret[:], secret) != 1 {
		return nil
	}
	return c
}

// forEach calls visit for every connection without holding a lock.
func (r *sessionRegistry) forEach(visit func(*connection)) {
	for i := range r.shards {
		for _, c := range r.shardConnections(i) {
			visit(c)
		}
	}
}

// shardConnections returns the connections of one shard.
func (r *sessionRegistry) shardConnections(index int) []*connection {
	shard := &r.shards[index]
	shard.Lock()
	defer shard.Unlock()
	connections := make([]*connection, 0, len(shard.sessions))
	for _, c := range shard.sessions {
		connections = append(connections, c)
	}
	return connections
}
