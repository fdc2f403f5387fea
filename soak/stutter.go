package soak

import (
	"math/rand/v2"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

const (
	// stutterSource is the random source of the responses that are sent twice, apart from all
	// others.
	stutterSource = 640
	// stutterInterval is the mean number of responses for each that is sent twice.
	stutterInterval = 50
)

// startStutter has all targets send responses twice if the options ask for it.
func (h *harness) startStutter() {
	if !h.options.Stutter {
		return
	}
	stutter := platformtest.NewStutter(1.0/stutterInterval, rand.NewPCG(h.options.Seed, stutterSource),
		platformtest.StutterAtOnce, platformtest.StutterIdle, platformtest.StutterOutstanding)
	for _, g := range h.groups {
		g.SetStutter(stutter)
	}
}
