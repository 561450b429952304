package gate

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

const (
	// readTimeout bounds a reading of the load.
	readTimeout = 300 * time.Millisecond
	// readWait is how long an asker waits for a reading; after it the last known load is told.
	readWait = 10 * time.Millisecond
	// downPause is the time between two readings of an upstream that refuses connections.
	downPause = 200 * time.Millisecond
	// coldPace multiplies the pace of an upstream that says that it is still slow after its start and reports no pace.
	coldPace  = 2
	usualPace = 100
)

// Load implements peer.Self. It waits for a reading when the last one is older than Options.FreshFor.
func (g *Gate) Load(now time.Time) peer.Load {
	if done := g.read(now); done != nil {
		timer := time.NewTimer(readWait)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
	report := g.admission.Report()
	g.mu.Lock()
	defer g.mu.Unlock()
	return peer.Load{
		Boot: g.options.Boot, Revision: g.revision, Serving: g.takesWork(),
		Running: report.InUse, Waiting: report.Queued, Limit: report.Slots, Pace: g.pace(now),
	}
}

// pace returns the pace that the upstream reports. One that reports none is taken for usual, or for slow while it is cold.
func (g *Gate) pace(now time.Time) int {
	switch {
	case g.load.Pace > 0 && !g.loadAt.IsZero():
		return g.load.Pace
	case now.Sub(g.heardAt) < g.current.Cold:
		return coldPace * usualPace
	}
	return usualPace
}

// read begins a reading of the load unless the last one is fresh or one is under way. It returns a channel that is
// closed when the reading has ended, nil when none is needed.
func (g *Gate) read(now time.Time) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	path := g.options.HealthPath(g.current.Service)
	if g.state != serving || path == "" || now.Sub(g.loadAt) < g.options.FreshFor {
		return nil
	}
	if g.reading != nil {
		return g.reading
	}
	done := make(chan struct{})
	g.reading = done
	addr := g.current.Address
	go func() {
		reading, err := g.readOnce(addr, path)
		g.readEnded(time.Now(), reading, err)
		close(done)
	}()
	return done
}

func (g *Gate) readOnce(addr, path string) (Reading, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return g.options.Client.Read(ctx, addr, path)
}

// readEnded takes a reading. A reading that failed or says ill does not take the upstream out: status checks lie both
// ways, and requests to it say more.
func (g *Gate) readEnded(now time.Time, reading Reading, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reading = nil
	if err != nil || !g.isCurrent(reading.UpstreamID) || !reading.HasLoad {
		g.loadAt = now // not again before it is due
		return
	}
	g.load, g.loadAt = reading.Load, now
	g.alive(now)
}

func (g *Gate) isCurrent(id string) bool { return id == "" || id == g.current.ID }

// alive notes a sign of life of the current incarnation.
func (g *Gate) alive(now time.Time) {
	g.current.Cold -= min(g.current.Cold, now.Sub(g.heardAt))
	g.heardAt = now
	g.refresh(now)
}

// answered takes the load that an answer carried.
func (g *Gate) answered(now time.Time, id string, answer *caller.Answer) {
	load, ok := g.options.Client.LoadOf(answer.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	if id != g.current.ID {
		return
	}
	if ok && load.Pace > 0 {
		g.load, g.loadAt = load, now
	}
	g.alive(now)
}

// Watch finds an upstream that has not announced itself to this process yet, or that refused connections and is back,
// until ctx ends. Announcements may take a second and more to come.
func (g *Gate) Watch(ctx context.Context) {
	ticker := time.NewTicker(downPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.look(now)
		}
	}
}

// look reads the load of an upstream that is not in use, and lets it lapse when nothing was heard of it for long.
func (g *Gate) look(now time.Time) {
	g.mu.Lock()
	held, addr := g.state, g.current.Address
	if held == serving && now.Sub(g.heardAt) > g.options.LapseAfter {
		notify := g.enter(now, unknown, "nothing heard of it")
		g.mu.Unlock()
		notify()
		return
	}
	service, recalls := g.current.Service, len(g.recalled) > 0
	g.mu.Unlock()
	if held == unknown && addr == "" && recalls {
		addr, service = g.options.Upstream, g.options.Service
	}
	path := g.options.HealthPath(service)
	if (held != down && held != unknown) || path == "" || addr == "" {
		return
	}
	reading, err := g.readOnce(addr, path)
	if err == nil && reading.Healthy && reading.UpstreamID != "" && reading.HasLoad {
		g.found(time.Now(), held, addr, reading)
	}
}

// maxRecalled bounds the upstreams that other nodes recall.
const maxRecalled = 16

// Recall takes what another node knows of the upstream that this one had before it was started again. A reading names no
// service, and the address may belong to an upstream of another one by now: without this the node waits until the upstream
// announces itself.
func (g *Gate) Recall(former peer.Former) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.recalled) < maxRecalled {
		g.recalled[former.Upstream] = former.Service
	}
}

// found takes an upstream that answered a reading although it has not announced itself to this process.
func (g *Gate) found(now time.Time, held state, addr string, reading Reading) {
	g.mu.Lock()
	_, left := g.left[reading.UpstreamID]
	if g.state != held || left || (g.current.ID != "" && g.current.ID != reading.UpstreamID) {
		g.mu.Unlock()
		return
	}
	service, recalled := g.recalled[reading.UpstreamID]
	if g.current.ID == "" && !recalled {
		g.mu.Unlock()
		return
	}
	if g.current.ID == "" {
		g.current = Announcement{ID: reading.UpstreamID, Address: addr, Service: service, Slots: max(1, reading.Load.Slots)}
	}
	g.heardAt, g.load, g.loadAt = now, reading.Load, now
	notify := g.enter(now, serving, "answered a reading")
	g.mu.Unlock()
	notify()
}
