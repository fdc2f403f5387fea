// Package edge is the entry daemon of the platform: it wires the store's mirror,
// the tenure, failover and the engine that runs callers' statements, and serves
// callers, the balancer's probe and metrics.
package edge

import (
	"strings"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Keys of the project in the store.
const (
	prefixOwn       = "samphirehitch/"
	prefixInstances = prefixOwn + "instance/"
	prefixUses      = prefixOwn + "use/"
	prefixGroups    = prefixOwn + "group/"
	prefixYields    = prefixOwn + "yield/"
	prefixSuspects  = prefixOwn + "suspect/"
	// keyDuty names the holder of the promotion duty.
	keyDuty = prefixOwn + "duty/promotion"
)

func instanceKey(id topology.InstanceID) string { return prefixInstances + string(id) }

func useKey(id topology.InstanceID) string { return prefixUses + string(id) }

func groupKey(id topology.ServiceID) string { return prefixGroups + string(id) }

func yieldKey(service topology.ServiceID, id topology.InstanceID) string {
	return prefixYields + string(service) + "/" + string(id)
}

func suspectKey(service topology.ServiceID, id topology.InstanceID) string {
	return prefixSuspects + string(service) + "/" + string(id)
}

// cutOwner splits a key of the form prefix, service, instance.
func cutOwner(prefix, key string) (topology.ServiceID, topology.InstanceID) {
	service, instance, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	return topology.ServiceID(service), topology.InstanceID(instance)
}
