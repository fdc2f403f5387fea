package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// stutterSource is the random source of the responses that are sent twice, apart from all
// others.
const stutterSource = 640

// Ranges of the times in which a target stutters, and of those between them.
const (
	maxStutterPause    = 500 * time.Millisecond
	maxStutterDuration = 3 * time.Second
)

// stutterShares are the shares of the responses that a target sends twice.
var stutterShares = []float64{0.02, 0.2, 1}

// stutterModes are the ways in which a target stutters.
var stutterModes = [][]platformtest.StutterMode{
	{platformtest.StutterAtOnce}, {platformtest.StutterIdle}, {platformtest.StutterOutstanding},
	{platformtest.StutterAtOnce, platformtest.StutterIdle, platformtest.StutterOutstanding},
}

// stutterTargets has one target after the other stutter, beside the other faults, until stop is
// closed. It has a random source of its own.
func (h *harness) stutterTargets(random *rand.Rand, stop <-chan struct{}) {
	for pause(below(random, maxStutterPause), stop) {
		m := h.targets[random.IntN(len(h.targets))].member
		share, modes, duration := stutterShares[random.IntN(len(stutterShares))], stutterModes[random.IntN(len(stutterModes))], below(random, maxStutterDuration)
		h.logEvent(fmt.Sprintf("%s sends a share of %g of its responses twice for %s, modes %v", m.ID, share, duration.Round(time.Millisecond), modes))
		endStutter := h.history.addStutter()
		m.SetStutter(platformtest.NewStutter(share, rand.NewPCG(random.Uint64(), random.Uint64()), modes...))
		pause(duration, stop)
		m.SetStutter(nil)
		endStutter()
	}
}
