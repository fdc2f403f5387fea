// Package edge is the entry daemon, which runs on every instance. It accepts callers'
// connections and runs their statements or forwards them to the owners of the service.
//
// The daemon mirrors the store, maintains this instance's registration and authority,
// takes part in failovers and in sharing the customers' limits, and serves the load
// balancer's probe and the metrics. Run starts the loops and servers that do so.
package edge

import (
	"strings"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Keys that instances write to the store.
const (
	// All of them begin with prefixProject.
	prefixProject = "samphirehitch/"
	// Registrations of instances, by instance.
	prefixInstances = prefixProject + "instance/"
	// Services whose primaries an instance uses, by instance.
	prefixUsages = prefixProject + "use/"
	// Records of primaries, by service.
	prefixRecords = prefixProject + "group/"
	// Acknowledgements of fences, by service and instance.
	prefixFenceAcks = prefixProject + "yield/"
	// Suspicions of primaries, by service and instance.
	prefixSuspicions = prefixProject + "suspect/"
	// Records of primaries that an instance had verified before a restore of the store, by
	// instance.
	prefixKnown = prefixProject + "known/"
	// Operators' declarations of lost databases, by service. Instances only read them.
	prefixLost = prefixProject + "lost/"
	// keySettledEra holds the era of the store since whose begin authority.FenceWait has
	// passed.
	keySettledEra = prefixProject + "era"
	// keyLeadership identifies the failover leader.
	keyLeadership = prefixProject + "duty/promotion"
)

func instanceKey(id topology.InstanceID) string { return prefixInstances + string(id) }

func knownKey(id topology.InstanceID) string { return prefixKnown + string(id) }

func usageKey(id topology.InstanceID) string { return prefixUsages + string(id) }

func lostKey(id topology.ServiceID) string { return prefixLost + string(id) }

func recordKey(id topology.ServiceID) string { return prefixRecords + string(id) }

func fenceAckKey(service topology.ServiceID, id topology.InstanceID) string {
	return prefixFenceAcks + string(service) + "/" + string(id)
}

func suspicionKey(service topology.ServiceID, id topology.InstanceID) string {
	return prefixSuspicions + string(service) + "/" + string(id)
}

// splitServiceKey splits a key that consists of a prefix, a service and an instance. The name of a
// service may contain a slash, that of an instance does not.
func splitServiceKey(prefix, key string) (topology.ServiceID, topology.InstanceID) {
	name := strings.TrimPrefix(key, prefix)
	i := strings.LastIndexByte(name, '/')
	return topology.ServiceID(name[:max(i, 0)]), topology.InstanceID(name[i+1:])
}
