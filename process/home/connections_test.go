package home

import (
	"testing"

	"pgregory.net/rapid"
)

func TestConnectionsStayWithinTheLimitOfATarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := fleet(rapid.IntRange(1, 40).Draw(t, "instances"))
		limit := rapid.IntRange(8, 300).Draw(t, "limit")
		all := services(rapid.IntRange(1, 8).Draw(t, "services"))
		a := Assign(all, instances)
		for _, service := range all {
			sum := reservedConnections
			for _, i := range instances {
				if a.Uses(i.ID, service) {
					sum += a.Connections(i.ID, service, limit)
				}
			}
			if sum > limit {
				t.Fatalf("%d connections of %d", sum, limit)
			}
		}
	})
}

// Both homes are cut off and a caller rests in a transaction: the backup needs more
// than one connection.
func TestBackupOfALargeFleetServesBesideAnIdleTransaction(t *testing.T) {
	for _, test := range []struct{ limit, least int }{{57, 5}, {250, 20}} {
		a := Assign(services(8), fleet(63))
		backup := a.Backups("service-0")[0]
		if got := a.Connections(backup, "service-0", test.limit); got < test.least {
			t.Errorf("%d of %d connections, want %d", got, test.limit, test.least)
		}
		if got := a.Connections(a.Homes("service-0")[0], "service-0", test.limit); got < test.limit*4/10 {
			t.Errorf("a home has %d of %d connections", got, test.limit)
		}
	}
}
