package owner

import (
	"slices"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// reservedConnections is the number of each target's connections that are kept
	// free for status requests.
	reservedConnections = 1
	// backupDivisor sets the part of a target's connections that the backup owners
	// share: a tenth. With a single connection, one caller that idles in a transaction
	// would stop all requests while the owners are cut off.
	backupDivisor = 10
)

// ConnectionLimit returns how many connections an instance may hold to each target of a
// service, if each target accepts limit connections in total. The owners share what
// remains after the reserved connections and those of the backup owners. Any other
// instance may hold one, for requests that it cannot forward.
func (a Assignment) ConnectionLimit(id topology.InstanceID, service topology.ServiceID, limit int) int {
	owners, backupOwners := a.owners[service], a.backupOwners[service]
	perBackupOwner := max(1, limit/backupDivisor/max(1, len(backupOwners)))
	if slices.Contains(owners, id) {
		return max(1, (limit-reservedConnections-perBackupOwner*len(backupOwners))/len(owners))
	}
	if slices.Contains(backupOwners, id) {
		return perBackupOwner
	}
	return 1
}
