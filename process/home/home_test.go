package home

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

func fleet(count int) []Instance {
	instances := make([]Instance, count)
	for i := range instances {
		instances[i] = Instance{ID: topology.InstanceID(fmt.Sprintf("instance-%d", i)), Processor: 0.4}
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

func TestHomesAreSpreadOverTheInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := fleet(rapid.IntRange(1, 40).Draw(t, "instances"))
		all := services(rapid.IntRange(1, 20).Draw(t, "services"))
		a := Assign(all, instances)
		want := min(PerService, len(instances))
		bound := (len(all)*want + len(instances) - 1) / len(instances)
		for _, id := range all {
			homes := a.Homes(id)
			if len(homes) == 0 || len(homes) > want || len(homes) == 2 && homes[0] == homes[1] {
				t.Fatalf("homes of %s: %v", id, homes)
			}
			for _, backup := range a.Backups(id) {
				for _, h := range homes {
					if backup == h {
						t.Fatalf("%s is home and backup of %s", h, id)
					}
				}
			}
		}
		for _, i := range instances {
			if a.Count(i.ID) > bound {
				t.Fatalf("%s is home of %d services, bound %d", i.ID, a.Count(i.ID), bound)
			}
		}
	})
}

func TestWeakInstancesAreNoHomes(t *testing.T) {
	instances := fleet(20)
	for i := range 4 {
		instances[i].Processor = 0.8
	}
	for i := 4; i < 20; i++ {
		instances[i].Processor = 0.19
	}
	a := Assign(services(2), instances)
	for _, i := range instances[4:] {
		if a.Count(i.ID) > 0 {
			t.Fatalf("%s is a home", i.ID)
		}
	}
}

func TestSpreadBalancesRates(t *testing.T) {
	spread := Spread([]Customer{{"large", 100}, {"a", 30}, {"b", 30}, {"c", 30}})
	if spread["a"] == spread["large"] || spread["b"] == spread["large"] || spread["c"] == spread["large"] {
		t.Fatalf("%v", spread)
	}
}
