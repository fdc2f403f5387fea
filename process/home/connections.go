package home

import (
	"slices"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// reservedConnections are kept of each target's connections for status
	// requests.
	reservedConnections = 1
	// backupsPart is the part of a target's connections that its service's backups
	// share: when the homes are cut off, a single connection that rests in a
	// transaction would stop all work.
	backupsPart = 10
)

// Connections returns how many connections an instance may hold to each target of a
// service whose targets accept limit in all: the homes share what the backups leave.
// An instance that is neither keeps one for work that found no other place.
func (a Assignment) Connections(id topology.InstanceID, service topology.ServiceID, limit int) int {
	homes, backups := a.homes[service], a.backups[service]
	perBackup := max(1, limit/backupsPart/max(1, len(backups)))
	if slices.Contains(homes, id) {
		return max(1, (limit-reservedConnections-perBackup*len(backups))/len(homes))
	}
	if slices.Contains(backups, id) {
		return perBackup
	}
	return 1
}
