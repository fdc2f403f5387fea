package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// Random sources of the faults around promotions, apart from all others. Each series has one
// source and each group one for the delays of its promotions.
const (
	promotionSeriesSource = 800
	promotionDelaySource  = 820
	orderResponseSource   = 830
)

const (
	// promotionSeries is the number of series that run concurrently, so that they overlap.
	promotionSeries = 2
	// maxPromotionPause is the limit of the time between two failovers of a series.
	maxPromotionPause = 1500 * time.Millisecond
	// A promotion takes from minPromotionTime to maxPromotionTime.
	minPromotionTime = 200 * time.Millisecond
	maxPromotionTime = 900 * time.Millisecond
	// maxOrderResponseDelay is the limit of the delay of a response to an order; one response
	// in lostOrderResponses is lost, and as many are delayed.
	maxOrderResponseDelay = 400 * time.Millisecond
	lostOrderResponses    = 8
	// maxStopDelay is the limit of the time from an order to the signal to its leader, and
	// maxLeadersInRow how many leaders of one failover are ended.
	maxStopDelay    = 150 * time.Millisecond
	maxLeadersInRow = 3
	// orderTimeout is how long an order is waited for: the authority to use a primary lasts
	// for 3.3 s where an instance does not acknowledge its end.
	orderTimeout = 6 * time.Second
	// registrationLease is the time in which a daemon is started several times.
	registrationLease = 3600 * time.Millisecond
	maxStartsInLease  = 3
	// maxSilence is the limit of the time for which a replica is silent, slow or busy, and
	// maxExtraTime that of the time by which a slow one takes longer.
	maxSilence   = 1500 * time.Millisecond
	maxExtraTime = 500 * time.Millisecond
)

// slowDownPromotions has the promotions of all groups take a random time, and some responses to
// orders come late or not at all.
func (h *harness) slowDownPromotions() {
	for i, g := range h.groups {
		delays := platformtest.NewRandomDelays(minPromotionTime, maxPromotionTime, rand.NewPCG(h.options.Seed, promotionDelaySource+uint64(i)))
		g.SetPromotionDelays(func(platformtest.PromotionOrder) time.Duration { return delays.Draw() })
	}
	random := rand.New(rand.NewPCG(h.options.Seed, orderResponseSource))
	h.promotionService.SetResponses(func() platformtest.OrderResponse { // the service serializes the calls
		kind, delay := random.IntN(lostOrderResponses), below(random, maxOrderResponseDelay)
		switch kind {
		case 0:
			return platformtest.OrderResponse{Lost: true}
		case 1:
			return platformtest.OrderResponse{Delay: delay}
		}
		return platformtest.OrderResponse{}
	})
}

// failoverPlan is one failover of a series. All of it is drawn in advance, so that the
// draws do not depend on what the daemons do.
type failoverPlan struct {
	// group is the index of the group whose primary fails for the duration of outage. It goes
	// dark if dark is set, and crashes otherwise.
	group  int
	outage time.Duration
	dark   bool
	// lagging has a replica receive nothing before.
	lagging bool
	// The replica that is ordered first is out of reach silentAfter its order, for silentFor.
	silence                silence
	silentAfter, silentFor time.Duration
	// stops are the ends of the leaders, one after the other. starts are the delays before the
	// starts of the first one within the lease of its registration.
	stops  []leaderStop
	starts []time.Duration
}

// leaderStop is the end of a failover leader.
type leaderStop struct {
	signal       syscall.Signal
	after        time.Duration
	restartDelay time.Duration
}

// silence is how a replica that has been ordered is out of reach for a moment.
type silence uint8

const (
	silenceDark silence = iota
	silenceBusy
	silenceSlow
	silenceKinds
)

var silenceNames = [...]string{"dark", "busy", "slow"}

// drawFailover draws a failover.
func (h *harness) drawFailover(random *rand.Rand) failoverPlan {
	f := failoverPlan{group: random.IntN(len(h.groups)), dark: random.IntN(4) == 0, outage: time.Second + below(random, 4*time.Second),
		lagging: random.IntN(2) == 0, silence: silence(random.IntN(int(silenceKinds))),
		silentAfter: below(random, maxStopDelay), silentFor: below(random, maxSilence)}
	for range 1 + random.IntN(maxLeadersInRow) {
		stop := leaderStop{syscall.SIGTERM, below(random, maxStopDelay), below(random, time.Second)}
		if random.IntN(3) == 0 {
			stop.signal = syscall.SIGKILL
		}
		f.stops = append(f.stops, stop)
	}
	for range random.IntN(maxStartsInLease) {
		f.starts = append(f.starts, below(random, registrationLease/maxStartsInLease))
	}
	return f
}

// replacePrimaries has primaries fail, one failover after the other, and ends the leaders that
// order promotions, until stop is closed.
func (h *harness) replacePrimaries(random *rand.Rand, stop <-chan struct{}) {
	for pause(below(random, maxPromotionPause), stop) {
		f := h.drawFailover(random)
		primary, replicas := h.targetsOf(h.groups[f.group], random)
		h.replacePrimary(f, primary, replicas, stop)
	}
}

// replacePrimary runs one failover: the primary fails, and each leader that orders a promotion is
// ended while the ordered replica is out of reach for a moment.
func (h *harness) replacePrimary(f failoverPlan, primary target, replicas []target, stop <-chan struct{}) {
	endFault := h.history.addFault()
	defer endFault()
	if f.lagging {
		replicas[0].member.SetDeaf(true)
		defer replicas[0].member.SetDeaf(false)
		pause(divergeTime, stop)
	}
	h.logEvent(fmt.Sprintf("primary %s fails for %s, dark %v, %d leaders are ended", primary.member.ID, f.outage.Round(time.Millisecond), f.dark, len(f.stops)))
	count := orderCount(primary.member.Group())
	h.fail(primary, f.dark, true)
	var running sync.WaitGroup
	running.Go(func() {
		pause(f.outage, stop)
		h.fail(primary, f.dark, false)
	})
	for i, leaderStop := range f.stops {
		order, ordered := awaitOrder(primary.member.Group(), count+i, orderTimeout, stop)
		if !ordered {
			break
		}
		leader := h.leader()
		h.logEvent(fmt.Sprintf("%s orders %s", order.Holder, order.Target))
		if i == 0 {
			running.Go(func() { h.silenceTarget(f, order, stop) })
		}
		pause(leaderStop.after, stop)
		var starts []time.Duration
		if i == 0 {
			starts = f.starts
		}
		running.Go(func() { h.endLeader(leader, leaderStop, starts) })
	}
	running.Wait()
}

// fail has a target crash or go dark, or ends that.
func (h *harness) fail(t target, dark, failed bool) {
	if !dark {
		t.member.SetDown(failed)
		return
	}
	h.history.addDisturbance()
	setDark(t, failed)
}

// silenceTarget has an ordered target out of reach for a moment.
func (h *harness) silenceTarget(f failoverPlan, order platformtest.PromotionOrder, stop <-chan struct{}) {
	pause(f.silentAfter, stop)
	for _, t := range h.targets {
		if t.member.ID != order.Target {
			continue
		}
		h.logEvent(fmt.Sprintf("%s is %s for %s", t.member.ID, silenceNames[f.silence], f.silentFor.Round(time.Millisecond)))
		switch f.silence {
		case silenceDark:
			h.fail(t, true, true)
			defer h.fail(t, true, false)
		case silenceBusy:
			t.member.SetStatusBusy(true)
			defer t.member.SetStatusBusy(false)
		case silenceSlow:
			t.member.SetSlow(maxExtraTime)
			defer t.member.SetSlow(0)
		}
		pause(f.silentFor, stop)
	}
}

// endLeader ends a daemon and starts it again, several times if starts are given.
func (h *harness) endLeader(leader *daemon, stop leaderStop, starts []time.Duration) {
	if leader == nil {
		return // the leadership has lapsed by now
	}
	h.logEvent(fmt.Sprintf("%s to the leader %s", stop.signal, leader.name))
	if stop.signal == syscall.SIGTERM {
		h.terminate(leader, stopTimeout)
	} else {
		leader.stop(syscall.SIGKILL, stopTimeout)
	}
	time.Sleep(stop.restartDelay)
	h.recordError(leader.start())
	for _, delay := range starts {
		time.Sleep(delay)
		leader.stop(syscall.SIGKILL, stopTimeout)
		h.recordError(leader.start())
	}
}
