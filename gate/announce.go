package gate

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID       string // of this incarnation; some upstreams keep it over a restart
	Born     int64  // start of the incarnation in ms since the Unix epoch, by the upstream's clock; 0 when it does not say
	Address  string // host:port at which the upstream serves
	Service  string
	Slots    int
	Draining bool
	Sequence uint64        // grows with each announcement of an incarnation
	Cold     time.Duration // how much longer the upstream is slow after its start
}

// maxSlots bounds the slots of an announcement.
const maxSlots = 1 << 16

// ErrAnnouncement is the error of an announcement that names no upstream to use.
var ErrAnnouncement = errors.New("announcement names no upstream to use")

func (a *Announcement) check() error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("%w: address %q: %w", ErrAnnouncement, a.Address, err)
	}
	switch {
	case a.ID == "":
		return fmt.Errorf("%w: it has no ID", ErrAnnouncement)
	case a.Service == "":
		return fmt.Errorf("%w: it has no service", ErrAnnouncement)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("%w: slots %d are not from 1 to %d", ErrAnnouncement, a.Slots, maxSlots)
	}
	return nil
}

// Announce takes what the upstream says of itself. The error is ErrAnnouncement. An announcement that is older than what
// is known is acknowledged and changes nothing.
func (g *Gate) Announce(now time.Time, a Announcement) error {
	if err := a.check(); err != nil {
		return err
	}
	if g.options.Upstream != "" && a.Address != g.options.Upstream {
		return fmt.Errorf("%w: address %q is not that of the upstream beside this node, %s", ErrAnnouncement, a.Address, g.options.Upstream)
	}
	g.mu.Lock()
	if cause := g.outdated(now, a); cause != "" {
		g.mu.Unlock()
		g.options.Log.Info("announcement ignored", "upstream", a.ID, "born", a.Born, "sequence", a.Sequence, "cause", cause)
		return nil
	}
	notify := g.take(now, a)
	g.mu.Unlock()
	g.crashes.Watch.Announced(now, quarantine.Sign{Process: processOf(a), Addr: a.Address})
	if notify != nil {
		notify()
	}
	return nil
}

// outdated returns why the announcement is ignored, "" when it counts.
func (g *Gate) outdated(now time.Time, a Announcement) string {
	born, left := g.left[a.ID]
	alive := g.state != unknown && now.Sub(g.heardAt) < g.options.LapseAfter
	switch {
	case left && a.Born <= born:
		return "this incarnation has left"
	case a.ID == g.current.ID && a.Born < g.current.Born:
		return "an earlier incarnation of the same ID"
	case a.ID == g.current.ID && a.Born == g.current.Born && a.Sequence <= g.current.Sequence:
		return "a later announcement is known"
	case a.ID != g.current.ID && alive && a.Born < g.current.Born:
		return "a later incarnation serves at this address"
	}
	return ""
}

// take puts the announcement in force and returns what must be called without the lock.
func (g *Gate) take(now time.Time, a Announcement) (notify func()) {
	before := g.current
	other := a.ID != before.ID || a.Born != before.Born
	if other && before.ID != "" && before.ID != a.ID {
		g.left[before.ID] = before.Born
	}
	g.current, g.heardAt = a, now
	next := serving
	if a.Draining || (!other && g.state == draining) {
		// An incarnation that has said that it leaves does not come back.
		next = draining
	}
	if other {
		g.loadAt = time.Time{}
		g.options.Client.KeepOnly(a.Address)
	}
	if !other && next == g.state && a.Slots == before.Slots {
		g.refresh(now)
		return nil
	}
	cause := "announced"
	if next == draining {
		cause = "announced that it leaves"
	}
	return g.enter(now, next, cause)
}

// refresh renews the time to live of the announcement without a change of state.
func (g *Gate) refresh(now time.Time) {
	announced, _ := g.admission.Announced(now)
	announced.TimeToLive = g.options.LapseAfter
	g.admission.Announce(now, announced)
}

// Leave takes the word that the incarnation with the ID goes.
func (g *Gate) Leave(now time.Time, id string) {
	g.mu.Lock()
	if id != g.current.ID {
		g.left[id] = max(g.left[id], now.UnixMilli())
		g.mu.Unlock()
		return
	}
	g.left[id] = g.current.Born
	g.heardAt = now
	notify := g.enter(now, draining, "left")
	g.mu.Unlock()
	notify()
}

// processOf names the process of an incarnation.
func processOf(a Announcement) string { return fmt.Sprintf("%s@%d", a.ID, a.Born) }
