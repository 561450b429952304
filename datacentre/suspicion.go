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
	// syncTimeout bounds a Sync with a neighbour. Together with two rounds of pings, the second to the
	// next Sync and the spread of the updates, a failure is known everywhere within 3 s.
	syncTimeout = 300 * time.Millisecond
	// pingTimeout bounds one round of pings.
	pingTimeout    = 400 * time.Millisecond
	pingRounds     = 2
	maxPingTimeout = 10 * time.Second
	// helperCount is the number of other members asked in each round.
	helperCount = 7
	// needShare is the share of those asked that must find the member silent, in percent. After the loss
	// of 40 of 188 members 79 in 100 can answer: with more than half needed 1 of 12 runs passed 3 s. In a
	// rack of 40 that is cut off, 21 in 100 answer, so that it rarely judges the rest.
	needShare = 40
	farCount  = 2
	// minorityWait is how long a member must be silent before a single other member's confirmation is
	// enough. It covers the loss of most members of a data centre.
	minorityWait   = 30 * time.Second
	unconfirmedAge = 5 * time.Second
	// lookAhead is the number of further successors pinged when one is silent. With 40 of 188 members
	// lost at once, runs of up to 4 are found in one go.
	lookAhead = 4
	// pauseLimit is the delay of a node's own timers beyond which it does not trust what it concluded
	// meanwhile.
	pauseLimit = time.Second
	// maxRefutations bounds the doubling of the silence needed to declare a member that refutes.
	maxRefutations = 3
	// suspicionMemory is how long refutations count.
	suspicionMemory = 10 * time.Minute
)

// suspicion is what a node holds against a member.
type suspicion struct {
	incarnation uint64
	busy        bool      // a verification is under way
	since       time.Time // start of the silence, zero when there is none
	refutations int
	lastRefuted time.Time
}

// noteRefutation counts that a member answered a declared failure.
func (m *Membership) noteRefutation(r instance.Record) {
	m.suspicions.Update(r.ID, func(s suspicion, _ bool) (suspicion, bool) {
		s.refutations = min(s.refutations+1, maxRefutations)
		s.incarnation, s.lastRefuted = r.Incarnation, time.Now()
		return s, true
	})
}

// suspect verifies in the background whether a member that missed a message has failed, and looks
// at the members behind it.
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
		if s.incarnation != r.Incarnation && !s.busy {
			s = suspicion{incarnation: r.Incarnation}
		}
		begun = !s.busy
		s.busy = true
		if s.since.IsZero() {
			s.since = time.Now()
		}
		return s, true
	})
	return begun
}

func (m *Membership) endVerification(r instance.Record, failed bool) {
	m.suspicions.Update(r.ID, func(s suspicion, _ bool) (suspicion, bool) {
		s.busy = false
		if failed || m.heardSince(r.ID, r.Incarnation, s.since) {
			s.since = time.Time{}
		}
		return s, s.refutations > 0 || !s.since.IsZero()
	})
}

// hasUnconfirmed reports whether a member has been silent for longer than a verification takes and is
// still not declared failed, because too few others could be asked.
func (m *Membership) hasUnconfirmed() bool {
	found := false
	m.suspicions.Range(func(id instance.ID, s suspicion) bool {
		held, ok := m.fleet.Get(id)
		found = ok && !held.State.Gone() && held.Incarnation == s.incarnation &&
			!s.since.IsZero() && time.Since(s.since) > unconfirmedAge
		return !found
	})
	return found
}

// probeAhead pings the members that follow a silent one and suspects those that do not answer. When
// all are silent it goes on with the next ones.
func (m *Membership) probeAhead(ctx context.Context, after instance.Record) {
	for {
		following := m.home.Successors(after.ID, lookAhead)
		silent := make(chan instance.Record, lookAhead)
		for _, r := range following {
			go func() {
				if r.ID != m.config.Self.ID && m.ping(ctx, r, syncTimeout) == 0 {
					silent <- r
					return
				}
				silent <- instance.Record{}
			}()
		}
		count := 0
		for range following {
			if r := <-silent; r.ID != "" {
				count++
				m.suspect(r, false)
			}
		}
		if count < lookAhead || ctx.Err() != nil {
			return
		}
		after = following[lookAhead-1]
	}
}

// ping returns the incarnation that answered within the timeout, 0 when none did. A second ping is
// sent after half of the time, since a single message may be lost.
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
		m.takeSender(response.Sender)
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

// verify reports whether the member has failed, by the rule in the package comment.
func (m *Membership) verify(ctx context.Context, suspected instance.Record) bool {
	start := time.Now()
	held, _ := m.suspicions.Get(suspected.ID)
	timeout := pingTimeout << held.refutations
	helpers, far := m.helpers(suspected)
	asked, silent, silentFar := 0, 0, 0
	for round := range pingRounds {
		count := min(helperCount, len(helpers))
		chosen := helpers[:count]
		if round > 0 && len(helpers) >= 2*count {
			chosen = helpers[count : 2*count]
		}
		alive, confirmed, confirmedFar := m.pingRound(ctx, suspected, chosen, far, timeout)
		if alive || ctx.Err() != nil || m.heardSince(suspected.ID, suspected.Incarnation, start) {
			return false
		}
		asked += count
		silent += confirmed
		silentFar += confirmedFar
	}
	if time.Since(start) > pingRounds*timeout+pauseLimit || !m.settled.Load() {
		return false
	}
	if asked == 0 {
		return len(far) == 0 || silentFar > 0
	}
	return 100*silent > needShare*asked || silent+silentFar > 0 && time.Since(held.since) > minorityWait
}

// pingRound pings the member directly and through the helpers. confirmed counts the helpers that
// answered that they could not reach it, confirmedFar those of other regions.
func (m *Membership) pingRound(
	ctx context.Context, suspected instance.Record, helpers, far []instance.Record, timeout time.Duration,
) (alive bool, confirmed, confirmedFar int) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type verdict struct{ alive, silent, far bool }
	count := len(helpers) + len(far)
	verdicts := make(chan verdict, count+1)
	go func() {
		verdicts <- verdict{alive: m.ping(ctx, suspected, timeout) >= suspected.Incarnation}
	}()
	for i, helper := range slices.Concat(helpers, far) {
		go func() {
			alive, err := m.pingVia(ctx, helper, suspected, timeout*3/4)
			verdicts <- verdict{alive: alive, silent: err == nil && !alive, far: i >= len(helpers)}
		}()
	}
	for range count + 1 {
		v := <-verdicts
		switch {
		case v.alive:
			return true, 0, 0
		case v.silent && v.far:
			confirmedFar++
		case v.silent:
			confirmed++
		}
	}
	return false, confirmed, confirmedFar
}

func (m *Membership) pingVia(ctx context.Context, helper, target instance.Record, timeout time.Duration) (bool, error) {
	response, err := m.config.Messenger.PingVia(ctx, helper.PeerAddr, PingViaRequest{
		Sender: m.sender(), Target: target.ID, Incarnation: target.Incarnation, Timeout: timeout,
	})
	if err != nil {
		return false, err
	}
	if err := response.Sender.validate(); err != nil {
		invalid.Inc()
		return false, err
	}
	m.takeSender(response.Sender)
	return response.Incarnation >= target.Incarnation, nil
}

// helpers returns the members that can be asked about another one, in random order: those of the
// own data centre and, where it has too few, those of the region. Where there are few of both, two
// members of other regions (far) show whether this node is the one that is cut off. They have no part
// in the majority, so that a cut between regions does not prevent it.
func (m *Membership) helpers(suspected instance.Record) (helpers, far []instance.Record) {
	self := m.config.Self
	var near, region []instance.Record
	for _, name := range m.fleet.DataCentres() {
		for _, r := range m.fleet.DataCentre(name) {
			switch {
			case r.ID == self.ID || r.ID == suspected.ID:
			case name == self.DataCentre:
				near = append(near, r)
			case r.Region == self.Region:
				region = append(region, r)
			default:
				far = append(far, r)
			}
		}
	}
	if len(near) >= helperCount {
		return shuffle(near), nil
	}
	helpers = append(shuffle(near), shuffle(region)...)
	if len(helpers) >= helperCount {
		return helpers[:helperCount], nil
	}
	far = shuffle(far)
	return helpers, far[:min(len(far), farCount)]
}

func shuffle(records []instance.Record) []instance.Record {
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records
}

// declareFailed publishes the failure of a member, unless something newer is known of it.
func (m *Membership) declareFailed(suspected instance.Record) {
	held, ok := m.fleet.Get(suspected.ID)
	if !ok || held.Incarnation != suspected.Incarnation || held.StateVersion != suspected.StateVersion || held.State.Gone() {
		return // replaced, gone, or alive, since only the member raises its state version
	}
	held.State = instance.Failed
	held.StateVersion++
	declaredFailed.Inc()
	slog.Info("member declared failed", "member", held.ID, "incarnation", held.Incarnation)
	m.publish(held, m.config.Self.ID)
}
