package soak

import (
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

const (
	// divergeTime is how long the logs of a group's members diverge before the next step of
	// a fault.
	divergeTime = 600 * time.Millisecond
	// maxReplaceTime is how long the daemons have for replacing a primary, and useTime how long
	// its successor is used, before the next step.
	maxReplaceTime = 6 * time.Second
	useTime        = time.Second
	// maxLogFaultDuration is the limit of the duration of a fault after its last step. It
	// exceeds the time in which daemons that do not respond are waited for.
	maxLogFaultDuration = 6 * time.Second
)

// logFaults returns the faults after which the logs of a group's members differ, so that not
// every member that responds may be promoted. No member loses its log.
func (h *harness) logFaults(random *rand.Rand) []fault {
	roles := func() (primary target, replicas []target) {
		return h.targetsOf(h.groups[random.IntN(len(h.groups))], random)
	}
	return []fault{
		{"replica deaf", func() func() {
			_, replicas := roles()
			replicas[0].member.SetDeaf(true)
			return func() { replicas[0].member.SetDeaf(false) }
		}, 4 * time.Second, crash},
		{"target dark", func() func() {
			t := h.targets[random.IntN(len(h.targets))]
			setDark(t, true)
			return func() { setDark(t, false) }
		}, 4 * time.Second, disruption},
		{"primary down, a replica dark, the other one deaf before", func() func() {
			return darkenHolder(roles())
		}, maxLogFaultDuration, disruption},
		{"primary cut off, back when its successor is down and the other replica dark", func() func() {
			return returnReplacedPrimary(roles())
		}, maxLogFaultDuration, disruption},
	}
}

// targetsOf returns the targets of a group: its primary, and its replicas in random order.
func (h *harness) targetsOf(group *platformtest.Group, random *rand.Rand) (primary target, replicas []target) {
	current := group.CurrentPrimary()
	for _, t := range h.targets {
		switch {
		case t.member == current:
			primary = t
		case t.member.Group() == group:
			replicas = append(replicas, t)
		}
	}
	random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	return primary, replicas
}

// darkenHolder has the primary crash while the replica that has received its latest commits is
// dark: the one that responds lacks what was acknowledged. It returns what reverts it.
func darkenHolder(primary target, replicas []target) (revert func()) {
	replicas[0].member.SetDeaf(true)
	time.Sleep(divergeTime)
	setDark(replicas[1], true)
	primary.member.SetDown(true)
	return func() {
		setDark(replicas[1], false)
		primary.member.SetDown(false)
		replicas[0].member.SetDeaf(false)
	}
}

// returnReplacedPrimary has the primary commit alone, out of reach of the other members, until the
// daemons cannot reach it either and replace it. They reach it again, with its log and its role,
// when its successor is down and no other member responds. It returns what reverts it.
func returnReplacedPrimary(primary target, replicas []target) (revert func()) {
	group := primary.member.Group()
	primary.member.SetIsolated(true)
	time.Sleep(divergeTime)
	primary.proxy.SetMode(CloseConnections)
	for end := time.Now().Add(maxReplaceTime); group.CurrentPrimary() == primary.member && time.Now().Before(end); {
		time.Sleep(registrationInterval)
	}
	time.Sleep(useTime)
	for _, t := range replicas {
		if t.member == group.CurrentPrimary() {
			t.member.SetDown(true)
		} else {
			setDark(t, true)
		}
	}
	primary.proxy.SetMode(Forward)
	return func() {
		for _, t := range replicas {
			t.member.SetDown(false)
			setDark(t, false)
		}
		primary.member.SetIsolated(false)
	}
}

// setDark has a target run on without reaching anybody, or ends that.
func setDark(t target, dark bool) {
	t.member.SetIsolated(dark)
	mode := Forward
	if dark {
		mode = DropAll
	}
	t.proxy.SetMode(mode)
}
