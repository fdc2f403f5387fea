package edge

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/topology"
)

// A suspicion of the primary of service "a/b" counted as one of service "a".
func TestKeysOfServicesWithSlashesDoNotCollide(t *testing.T) {
	keys := make(map[string]bool)
	for _, service := range []topology.ServiceID{"a", "a/b", "a/", "/a", "a%2Fb", "a//b", "../a"} {
		for _, instance := range []topology.InstanceID{"i", "b-i"} {
			key := suspicionKey(service, instance)
			if keys[key] {
				t.Errorf("two services have key %q", key)
			}
			keys[key] = true
			if gotService, gotInstance := splitServiceKey(prefixSuspicions, key); gotService != service || gotInstance != instance {
				t.Errorf("key %q is split into service %q and instance %q", key, gotService, gotInstance)
			}
		}
	}
}
