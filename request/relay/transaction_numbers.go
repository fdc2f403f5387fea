package relay

// maxRecentSessions is the number of sessions after which a generation of transactionNumbers
// is complete.
const maxRecentSessions = 8192

// transactionNumbers holds the highest number of a transaction of each session that was begun
// or aborted here, for at least the latest maxRecentSessions sessions. It keeps two generations and
// drops the older one when the newer one is complete, so that it never forgets all sessions at
// once. A request of a session that it has forgotten may open a transaction that its caller knows
// as ended; that expires at the idle limit and is never committed.
type transactionNumbers struct {
	recent, earlier map[remoteSessionID]uint64
}

func newTransactionNumbers() transactionNumbers {
	return transactionNumbers{recent: make(map[remoteSessionID]uint64)}
}

// latest returns the highest number of a session, zero if none is known.
func (n *transactionNumbers) latest(session remoteSessionID) uint64 {
	return max(n.recent[session], n.earlier[session])
}

// advance records a number of a session. It returns false if it is not above the latest one.
func (n *transactionNumbers) advance(session remoteSessionID, number uint64) bool {
	if number <= n.latest(session) {
		return false
	}
	if _, known := n.recent[session]; !known && len(n.recent) >= maxRecentSessions {
		n.recent, n.earlier = make(map[remoteSessionID]uint64), n.recent
	}
	n.recent[session] = number
	return true
}
