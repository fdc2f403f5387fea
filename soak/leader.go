package soak

import (
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// leadershipKey is the key of the failover leader in the store. Its value begins with the name of
// the instance.
const leadershipKey = "samphirehitch/duty/promotion"

// leader returns the daemon that is the failover leader by the store, nil if there is none.
func (h *harness) leader() *daemon {
	name, _, _ := strings.Cut(string(h.store.Value(leadershipKey)), " ")
	for _, d := range h.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// awaitOrder waits until the group has accepted more than a number of promotion orders, and
// returns the next one. It returns false after a timeout or when stop is closed.
func awaitOrder(group *platformtest.Group, count int, timeout time.Duration, stop <-chan struct{}) (platformtest.PromotionOrder, bool) {
	expired := time.After(timeout)
	for {
		orders, ordered := group.PromotionOrders()
		if len(orders) > count {
			return orders[count], true
		}
		select {
		case <-ordered:
		case <-expired:
			return platformtest.PromotionOrder{}, false
		case <-stop:
			return platformtest.PromotionOrder{}, false
		}
	}
}

// orderCount returns the number of promotion orders that the group has accepted.
func orderCount(group *platformtest.Group) int {
	orders, _ := group.PromotionOrders()
	return len(orders)
}
