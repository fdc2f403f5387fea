package owner

import (
	"testing"

	"pgregory.net/rapid"
)

func TestConnectionLimitsSumToAtMostTheTargetLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := fleet(rapid.IntRange(1, 40).Draw(t, "instances"))
		limit := rapid.IntRange(8, 300).Draw(t, "limit")
		all := services(rapid.IntRange(1, 8).Draw(t, "services"))
		a := Assign(all, instances)
		for _, service := range all {
			sum := reservedConnections
			for _, i := range instances {
				if a.MayConnect(i.ID, service) {
					sum += a.ConnectionLimit(i.ID, service, limit)
				}
			}
			if sum > limit {
				t.Fatalf("%d connections of %d", sum, limit)
			}
		}
	})
}

// Both owners are cut off and a caller idles in a transaction: the backup owner needs
// more than one connection to serve the others.
func TestBackupOwnerOfALargeFleetHasSeveralConnections(t *testing.T) {
	for _, test := range []struct{ limit, minConnections int }{{57, 5}, {250, 20}} {
		a := Assign(services(8), fleet(63))
		backupOwner := a.BackupOwners("service-0")[0]
		if got := a.ConnectionLimit(backupOwner, "service-0", test.limit); got < test.minConnections {
			t.Errorf("the backup owner has %d of %d connections, want %d", got, test.limit, test.minConnections)
		}
		if got := a.ConnectionLimit(a.Owners("service-0")[0], "service-0", test.limit); got < test.limit*4/10 {
			t.Errorf("an owner has %d of %d connections", got, test.limit)
		}
	}
}
