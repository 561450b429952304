package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// silent is a Sender whose datagrams are lost, and the Self of a node without an upstream.
type silent struct{}

func (silent) QueryLoad(netip.AddrPort, uint32)               {}
func (silent) Probe(netip.AddrPort, uint32)                   {}
func (silent) SendStatus(netip.AddrPort, StatusMessage)       {}
func (silent) SendRateLimit(netip.AddrPort, RateLimitMessage) {}
func (silent) SendDeparture(netip.AddrPort, DepartureMessage) {}
func (silent) Status() Status                                 { return Status{} }
func (silent) Load(time.Time) Load                            { return Load{} }
func (silent) LastLoad(time.Time) Load                        { return Load{} }
func (silent) LearnPreviousUpstream(PreviousUpstream)         {}
func (silent) Departure() Departure                           { return Departure{} }
func (silent) LearnDeparture(Departure)                       {}
func (silent) RateLimit(time.Time) RateLimit                  { return RateLimit{} }
func (silent) LearnRateLimit(RateLimit)                       {}

// drawnNode is the state of a node relative to the time at which a roster is made of it.
type drawnNode struct {
	serving, left, known, silent, limited bool
	zone                                  string
	load                                  Load
	perSecond, available, failureRate     float64
	unanswered                            int
	queryAge                              time.Duration // of an open query, 0 for none
}

func drawNode(t *rapid.T) drawnNode {
	mostly := func(name string) bool { return rapid.IntRange(0, 4).Draw(t, name) > 0 }
	return drawnNode{
		serving: mostly("serving"), left: !mostly("stays"), known: mostly("load known"), silent: !mostly("heard"), limited: !mostly("unlimited"),
		zone: rapid.SampledFrom([]string{"z0", "z1", "evacuated"}).Draw(t, "zone"),
		load: Load{
			Running: rapid.IntRange(0, 9).Draw(t, "running"), Waiting: rapid.IntRange(0, 3).Draw(t, "waiting"), Limit: rapid.IntRange(1, 8).Draw(t, "limit"),
			ServiceTimePercent: rapid.IntRange(50, 400).Draw(t, "pace"), Serving: mostly("load serving"),
		},
		perSecond: rapid.SampledFrom([]float64{0, 0.5, 14}).Draw(t, "rate"), available: rapid.Float64Range(-20, 5).Draw(t, "left"),
		failureRate: rapid.Float64Range(0, 1).Draw(t, "failures"), unanswered: rapid.IntRange(0, 3).Draw(t, "unanswered"),
		queryAge: rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, time.Second}).Draw(t, "query age"),
	}
}

// rosterOfDrawn returns a roster of the nodes, whose known loads are fresh.
func rosterOfDrawn(nodes []drawnNode) *Roster {
	log := slog.New(slog.DiscardHandler)
	evacuations := NewEvacuations(EvacuationOptions{Zone: "z0", Send: func(netip.AddrPort, []Evacuation) {}, Log: log})
	evacuations.Merge(time.Now(), []Evacuation{{Zone: "evacuated", Active: true, Revision: 1}})
	r := NewRoster(Options{
		Zone: "z0", Address: netip.MustParseAddrPort("10.0.0.200:7000"), Routing: Routing{FreshFor: time.Hour, ZoneCost: time.Millisecond},
		Sender: silent{}, Self: silent{}, Evacuations: evacuations, Log: log,
	})
	now := time.Now()
	for i, n := range nodes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
		upstream := fmt.Sprintf("u%d", i)
		r.HandleStatus(address, StatusMessage{Status: Status{
			Node: fmt.Sprintf("n%d", i), Boot: uint64(i + 1), Revision: 1, Zone: n.zone, Service: "s", Upstream: upstream, Slots: 8, Serving: n.serving,
		}})
		p, _ := r.getOrAdd(address)
		if n.left {
			p.leaving = leavingUpstream{upstream: upstream, boot: uint64(i + 1), revision: 1}
		}
		if n.known {
			p.load, p.loadAt = n.load, now
		}
		if n.silent {
			p.lastHeard = now.Add(-time.Minute)
		}
		if n.limited {
			p.limit = reportedLimit{RateLimit{Upstream: upstream, RateLimit: caller.RateLimit{Named: true, PerSecond: n.perSecond}, Available: n.available}, uint64(i + 1), now}
		}
		p.outcomes = outcomeStats{failureRate: n.failureRate, updatedAt: now.Add(-time.Second)}
		p.query = loadQuery{sentAt: now.Add(-n.queryAge), open: n.queryAge > 0, unanswered: n.unanswered}
	}
	return r
}

// state returns the state of the nodes that need no query, and of the queries otherwise nothing.
func state(r *Roster) (states []string) {
	for _, p := range r.Service("s") {
		known := !p.loadAt.IsZero()
		text := fmt.Sprintf("%+v %+v %v %+v %+v %v %v", p.status, p.load, p.loadAt, p.limit, p.outcomes, p.rtt, p.lastHeard)
		if known {
			text += fmt.Sprintf(" %+v %d", p.query, len(p.waiters))
		}
		states = append(states, text)
	}
	return states
}

// Guards against a survey that chooses another node than a placement does, leaves a node out without a reason, or changes what the
// next placement is based on.
func TestSurveyDecidesAsChoose(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.SliceOfN(rapid.Custom(drawNode), 0, maxCandidates).Draw(rt, "nodes") // the sample is the whole list
		need := Criteria{
			Service: "s", ServiceTime: 50 * time.Millisecond, Bytes: 4096, AnswerWithin: rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second}).Draw(rt, "within"),
		}
		if rapid.Bool().Draw(rt, "tried") {
			need.Exclude = func(p *Peer) bool { return p.Status().Node == "n0" }
		}
		synctest.Test(t, func(t *testing.T) {
			surveyed := rosterOfDrawn(nodes)
			before := state(surveyed)
			survey := surveyed.Survey(context.Background(), need)
			assert.DeepEqual(t, before, state(surveyed))
			assert.Equal(t, len(survey.Nodes), len(nodes))

			chosen, err := rosterOfDrawn(nodes).Choose(context.Background(), need)
			var limited, alsoLimited *LimitedError
			assert.Equal(t, errors.As(err, &limited), errors.As(survey.Err, &alsoLimited))
			assert.Equal(t, errors.Is(err, ErrNoUpstream), errors.Is(survey.Err, ErrNoUpstream))
			assert.Equal(t, chosen.Cost, survey.Chosen.Cost) // several may cost the same
			for _, n := range survey.Nodes {
				assert.Assert(t, n.Compared || len(n.Reasons()) > 0, "%s is left out without a reason", n.Status.Node)
				assert.Assert(t, err != nil || n.Cost >= chosen.Cost || len(n.Reasons()) > 0, "%s costs less and is not chosen", n.Status.Node)
			}
			if err == nil {
				i := slices.IndexFunc(survey.Nodes, func(n Surveyed) bool { return n.Peer == survey.Chosen.Peer })
				assert.Assert(t, survey.Nodes[i].Compared)
			}
		})
	})
}
