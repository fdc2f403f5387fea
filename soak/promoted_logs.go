package soak

import (
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// checkPromotions checks the logs of the promoted members:
//
//   - LOST: where replicas acknowledge commits, a promoted log holds every write that was
//     acknowledged before.
//   - STALE: a promoted log holds no write that an earlier promotion had cut off, once a write
//     was acknowledged by the primary of that promotion: reads have not shown it since.
func (c *checker) checkPromotions(g *platformtest.Group) {
	synchronous := g.SynchronousReplicas() > 0
	committed, acknowledged, cut := g.Committed(), make(map[string]time.Time), make(map[string]bool)
	for _, w := range c.writes {
		if w.acknowledged {
			acknowledged[w.data] = w.at
		}
	}
	for _, promotion := range g.Promotions() {
		holds := make(map[string]bool)
		for _, w := range promotion.Log {
			holds[w.Data] = true
			if cut[w.Data] {
				c.addViolation("STALE: %s, promoted in term %d, holds %s, which an earlier promotion had cut off", promotion.Member, promotion.Term, w.Data)
			}
		}
		used := false
		for _, w := range committed {
			_, told := acknowledged[w.Data]
			used = used || told && w.Term == promotion.Term
		}
		for _, w := range committed {
			if w.Term >= promotion.Term || holds[w.Data] {
				continue
			}
			if at, told := acknowledged[w.Data]; synchronous && told && at.Before(promotion.At) {
				c.addViolation("LOST: %s, promoted in term %d, lacks %s, which was acknowledged before", promotion.Member, promotion.Term, w.Data)
			}
			cut[w.Data] = cut[w.Data] || used
		}
	}
}
