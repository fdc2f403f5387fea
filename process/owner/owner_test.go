package owner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

func fleet(count int) []Instance {
	instances := make([]Instance, count)
	for i := range instances {
		instances[i] = Instance{ID: topology.InstanceID(fmt.Sprintf("instance-%d", i)), CPUShare: 0.4}
	}
	return instances
}

func services(count int) []topology.ServiceID {
	ids := make([]topology.ServiceID, count)
	for i := range ids {
		ids[i] = topology.ServiceID(fmt.Sprintf("service-%d", i))
	}
	return ids
}

func TestOwnedServicesPerInstanceAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := fleet(rapid.IntRange(1, 40).Draw(t, "instances"))
		all := services(rapid.IntRange(1, 20).Draw(t, "services"))
		a := Assign(all, instances)
		ownersPerService := min(PerService, len(instances))
		maxServices := (len(all)*ownersPerService + len(instances) - 1) / len(instances)
		for _, id := range all {
			owners := a.Owners(id)
			if len(owners) == 0 || len(owners) > ownersPerService || len(owners) == 2 && owners[0] == owners[1] {
				t.Fatalf("owners of %s: %v", id, owners)
			}
			for _, backupOwner := range a.BackupOwners(id) {
				for _, owner := range owners {
					if backupOwner == owner {
						t.Fatalf("%s is owner and backup owner of %s", owner, id)
					}
				}
			}
		}
		for _, i := range instances {
			if a.OwnedServiceCount(i.ID) > maxServices {
				t.Fatalf("%s owns %d services, limit %d", i.ID, a.OwnedServiceCount(i.ID), maxServices)
			}
		}
	})
}

func TestInstancesWithALowCPUShareAreNotOwners(t *testing.T) {
	instances := fleet(20)
	for i := range 4 {
		instances[i].CPUShare = 0.8
	}
	for i := 4; i < 20; i++ {
		instances[i].CPUShare = 0.19
	}
	a := Assign(services(2), instances)
	for _, i := range instances[4:] {
		if a.OwnedServiceCount(i.ID) > 0 {
			t.Fatalf("%s is an owner", i.ID)
		}
	}
}

func TestSpreadCustomersBalancesRates(t *testing.T) {
	spread := SpreadCustomers([]Customer{{"large", 100}, {"a", 30}, {"b", 30}, {"c", 30}})
	if spread["a"] == spread["large"] || spread["b"] == spread["large"] || spread["c"] == spread["large"] {
		t.Fatalf("%v", spread)
	}
}
