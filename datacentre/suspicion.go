package datacentre

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

const (
	// syncTimeout bounds a Sync with a neighbour. With two rounds of pings, up to one second until the next
	// Sync, and the propagation of the updates, a failure is known everywhere within 3 s.
	syncTimeout = 300 * time.Millisecond
	// pingTimeout bounds one round of pings.
	pingTimeout       = 400 * time.Millisecond
	pingRounds        = 2
	maxPingTimeout    = 10 * time.Second
	remoteHelperCount = 2
	// minorityConfirmDelay is how long a member must be unresponsive before the confirmation by a single
	// other member is enough. It covers the loss of most members of a data centre.
	minorityConfirmDelay    = 30 * time.Second
	unconfirmedSuspicionAge = 5 * time.Second
	// probeAheadCount is the number of further successors pinged when one is unresponsive. With 40 of 188
	// members lost at once, runs of up to 4 are found in one step.
	probeAheadCount = 4
	// maxTimerDelay is the delay of a node's own timers beyond which it discards what it concluded
	// meanwhile.
	maxTimerDelay = time.Second
	// maxRefutations bounds the doubling of the ping timeout for a member that refutes declarations.
	maxRefutations = 3
	// suspicionRetention is how long refutations count.
	suspicionRetention = 10 * time.Minute
)

// suspicion is the state of the failure detector for one member.
type suspicion struct {
	incarnation uint64
	verifying   bool      // a verification is in progress
	since       time.Time // when the member became unresponsive, zero when it is not
	refutations int
	lastRefuted time.Time
}

// recordRefutation counts that a member refuted a declared failure.
func (m *Membership) recordRefutation(r instance.Record) {
	m.suspicions.Update(r.ID, func(s suspicion, _ bool) (suspicion, bool) {
		s.refutations = min(s.refutations+1, maxRefutations)
		s.incarnation, s.lastRefuted = r.Incarnation, time.Now()
		return s, true
	})
}

// suspect verifies in the background whether a member that missed a message has failed. With ahead it also
// probes the members that follow it.
func (m *Membership) suspect(suspected instance.Record, ahead bool) {
	if ahead {
		m.workers.start(func(ctx context.Context) { m.probeAhead(ctx, suspected) })
	}
	if !m.beginVerification(suspected) {
		return
	}
	m.workers.start(func(ctx context.Context) {
		failed := m.verify(ctx, suspected)
		m.endVerification(suspected, failed)
		if failed {
			m.declareFailed(suspected)
		}
	})
}

func (m *Membership) beginVerification(r instance.Record) bool {
	begun := false
	m.suspicions.Update(r.ID, func(s suspicion, _ bool) (suspicion, bool) {
		if s.incarnation != r.Incarnation && !s.verifying {
			s = suspicion{incarnation: r.Incarnation}
		}
		begun = !s.verifying
		s.verifying = true
		if s.since.IsZero() {
			s.since = time.Now()
		}
		return s, true
	})
	return begun
}

func (m *Membership) endVerification(r instance.Record, failed bool) {
	m.suspicions.Update(r.ID, func(s suspicion, _ bool) (suspicion, bool) {
		s.verifying = false
		if failed || m.heardSince(r.ID, r.Incarnation, s.since) {
			s.since = time.Time{}
		}
		return s, s.refutations > 0 || !s.since.IsZero()
	})
}

// hasUnconfirmedSuspicion reports whether a member has been unresponsive for longer than a verification
// takes and is still not declared failed, because too few others could be asked.
func (m *Membership) hasUnconfirmedSuspicion() bool {
	found := false
	m.suspicions.Range(func(id instance.ID, s suspicion) bool {
		held, ok := m.fleet.Get(id)
		found = ok && !held.State.Gone() && held.Incarnation == s.incarnation &&
			!s.since.IsZero() && time.Since(s.since) > unconfirmedSuspicionAge
		return !found
	})
	return found
}

// probeAhead pings the members that follow an unresponsive one and suspects those that do not answer. When
// none answers it continues with the next ones.
func (m *Membership) probeAhead(ctx context.Context, after instance.Record) {
	for {
		following := m.local.Successors(after.ID, probeAheadCount)
		unresponsive := make(chan instance.Record, probeAheadCount)
		for _, r := range following {
			go func() {
				if r.ID != m.config.Self.ID && m.ping(ctx, r, syncTimeout) == 0 {
					unresponsive <- r
					return
				}
				unresponsive <- instance.Record{}
			}()
		}
		count := 0
		for range following {
			if r := <-unresponsive; r.ID != "" {
				count++
				m.suspect(r, false)
			}
		}
		if count < probeAheadCount || ctx.Err() != nil {
			return
		}
		after = following[probeAheadCount-1]
	}
}

// ping returns the incarnation that answered within the timeout, or 0 when none did. A second ping is sent
// after half of the timeout, since a single message may be lost.
func (m *Membership) ping(ctx context.Context, target instance.Record, timeout time.Duration) uint64 {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan uint64, 2)
	try := func() {
		response, err := m.config.Messenger.Ping(ctx, target.PeerAddr, PingRequest{Sender: m.sender()})
		if err != nil || response.Sender.validate() != nil || response.Sender.ID != target.ID {
			answers <- 0
			return
		}
		m.recordSender(response.Sender)
		answers <- response.Sender.Incarnation
	}
	go try()
	repeat := time.NewTimer(timeout / 2)
	defer repeat.Stop()
	for open := 2; open > 0; {
		select {
		case <-repeat.C:
			go try()
		case incarnation := <-answers:
			if incarnation != 0 {
				return incarnation
			}
			open--
		case <-ctx.Done():
			return 0
		}
	}
	return 0
}

// verify reports whether the member has failed, by the conditions in the package comment.
func (m *Membership) verify(ctx context.Context, suspected instance.Record) bool {
	start := time.Now()
	held, _ := m.suspicions.Get(suspected.ID)
	timeout := pingTimeout << held.refutations
	helpers, remote := m.chooseHelpers(suspected)
	var answers confirmations
	for range pingRounds {
		chosen := answers.nextHelpers(helpers, time.Since(held.since))
		alive, confirmed, confirmedRemote := m.pingRound(ctx, suspected, chosen, remote, timeout)
		if alive || ctx.Err() != nil || m.heardSince(suspected.ID, suspected.Incarnation, start) {
			return false
		}
		answers.add(len(chosen), confirmed, confirmedRemote)
	}
	if time.Since(start) > pingRounds*timeout+maxTimerDelay || !m.synced.Load() {
		return false
	}
	if answers.asked == 0 {
		return len(remote) == 0 || answers.remote > 0
	}
	return answers.sufficient() || answers.any() && time.Since(held.since) > minorityConfirmDelay
}

// pingRound pings the member directly and through the helpers. confirmed counts the helpers that answered
// that they could not reach it, confirmedRemote those in other regions.
func (m *Membership) pingRound(
	ctx context.Context, suspected instance.Record, helpers, remote []instance.Record, timeout time.Duration,
) (alive bool, confirmed, confirmedRemote int) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type pingResult struct{ alive, unreachable, remote bool }
	count := len(helpers) + len(remote)
	results := make(chan pingResult, count+1)
	go func() {
		results <- pingResult{alive: m.ping(ctx, suspected, timeout) >= suspected.Incarnation}
	}()
	for i, helper := range slices.Concat(helpers, remote) {
		go func() {
			alive, err := m.pingVia(ctx, helper, suspected, timeout*3/4)
			results <- pingResult{alive: alive, unreachable: err == nil && !alive, remote: i >= len(helpers)}
		}()
	}
	for range count + 1 {
		result := <-results
		switch {
		case result.alive:
			return true, 0, 0
		case result.unreachable && result.remote:
			confirmedRemote++
		case result.unreachable:
			confirmed++
		}
	}
	return false, confirmed, confirmedRemote
}

func (m *Membership) pingVia(ctx context.Context, helper, target instance.Record, timeout time.Duration) (bool, error) {
	response, err := m.config.Messenger.PingVia(ctx, helper.PeerAddr, PingViaRequest{
		Sender: m.sender(), Target: target.ID, Incarnation: target.Incarnation, Timeout: timeout,
	})
	if err != nil {
		return false, err
	}
	if err := response.Sender.validate(); err != nil {
		invalidMessages.Inc()
		return false, err
	}
	m.recordSender(response.Sender)
	return response.Incarnation >= target.Incarnation, nil
}

// chooseHelpers returns the members that can be asked about another one, in random order: those of the
// same data centre and, where these are too few, those of the region. Where both are few, two members in
// other regions (remote) show whether this node is the one that is cut off. They do not count towards
// confirmationPercent, so that a partition between regions does not prevent the confirmation.
func (m *Membership) chooseHelpers(suspected instance.Record) (helpers, remote []instance.Record) {
	self := m.config.Self
	var local, region []instance.Record
	for _, name := range m.fleet.DataCentres() {
		for _, r := range m.fleet.DataCentre(name) {
			switch {
			case r.ID == self.ID || r.ID == suspected.ID:
			case name == self.DataCentre:
				local = append(local, r)
			case r.Region == self.Region:
				region = append(region, r)
			default:
				remote = append(remote, r)
			}
		}
	}
	if len(local) >= helpersPerRound {
		return shuffle(local), nil
	}
	helpers = append(shuffle(local), shuffle(region)...)
	if len(helpers) >= helpersPerRound {
		return helpers[:helpersPerRound], nil
	}
	remote = shuffle(remote)
	return helpers, remote[:min(len(remote), remoteHelperCount)]
}

func shuffle(records []instance.Record) []instance.Record {
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records
}

// declareFailed publishes the failure of a member, unless a newer record of it is known.
func (m *Membership) declareFailed(suspected instance.Record) {
	held, ok := m.fleet.Get(suspected.ID)
	if !ok || held.Incarnation != suspected.Incarnation || held.StateVersion != suspected.StateVersion || held.State.Gone() {
		return // restarted, gone, or alive: only the member itself raises its state version
	}
	held.State = instance.Failed
	held.StateVersion++
	declaredFailed.Inc()
	slog.Info("member declared failed", "member", held.ID, "incarnation", held.Incarnation)
	m.publish(held, m.config.Self.ID)
}
