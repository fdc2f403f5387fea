package failover

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against two primaries, lost commits and a wait without end where what single models draw comes
// together: databases that are lost and declared so, promotions that take effect late, leaders in series,
// and a store that is restored.
func TestFuzzLostDatabasesAcrossRestores(t *testing.T) {
	t.Parallel()
	kinds := slices.Concat(failoverEvents, []string{"restore", "restore"})
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 4).Draw(t, "databases")
		synchronous := rapid.IntRange(1, size-1).Draw(t, "synchronous")
		g := newModelGroup(size, synchronous)
		g.drawDelays(t)
		g.advance(time.Second)
		g.commit()
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			if rapid.Bool().Draw(t, "failover") {
				g.disturbFailover(t, kinds)
			} else {
				g.disturbDatabases(t)
			}
			if g.problem != "" {
				t.Fatal(g.problem)
			}
		}
		g.expectLostDoNotCount(t, 8*time.Second)
	})
}
