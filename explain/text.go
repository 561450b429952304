package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// columnGap is the space between columns.
const columnGap = 2

// WriteText writes the report as aligned columns.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	r.writeRequest(t)
	for i := range r.Services {
		if i > 0 {
			fmt.Fprintln(t)
		}
		r.Services[i].write(t)
	}
	return t.Flush()
}

// writeRequest writes what holds for the request whichever service is drawn.
func (r *Report) writeRequest(t io.Writer) {
	fmt.Fprintf(t, "node\t%s in zone %s\n", r.Node, r.Zone)
	fmt.Fprintf(t, "contracts\tversion %d%s\n", r.Contracts.Version, r.Contracts.proof())
	if route := r.Route; route != nil {
		access := ""
		if route.Public {
			access = ", public"
		}
		rank := ""
		if route.Rank != route.Priority {
			rank = fmt.Sprintf(" (rank %d with the tenant's)", route.Rank)
		}
		fmt.Fprintf(t, "route\t%s, %s, priority %d%s, objective %s, time limit %s%s\n",
			route.Name, route.Rule, route.Priority, rank, duration(route.Objective), duration(route.TimeLimit), access)
	}
	if tenant := r.Tenant; tenant != nil {
		fmt.Fprintf(t, "tenant\t%s, priority %d, %s\n", tenant.Name, tenant.Priority, tenant.Quota.text())
	}
	if r.Refusal != nil {
		fmt.Fprintf(t, "outcome\t%s\n", r.Refusal.text())
	}
	if len(r.Services) > 1 {
		fmt.Fprintf(t, "split\tone of %d services is drawn for each request, by weight\n", len(r.Services))
	}
}

func (c Contracts) proof() string {
	switch {
	case !c.Strict:
		return ""
	case c.ProofAge == nil:
		return ", not proven to be the newest: keys are refused"
	case !c.Fresh:
		return fmt.Sprintf(", proven to be the newest %s ago: too old, keys are refused", duration(*c.ProofAge))
	}
	return fmt.Sprintf(", proven to be the newest %s ago", duration(*c.ProofAge))
}

func (q Quota) text() string {
	text := "no quota"
	if q.PerSecond > 0 {
		text = fmt.Sprintf("quota %g/s, burst %g", q.PerSecond, q.Burst)
		if q.State == "" {
			q.State = "use not known here"
		}
	}
	if q.State != "" {
		text += ", " + q.State
	}
	return text
}

func (r *Refusal) text() string {
	text := fmt.Sprintf("refused: %s, status %d", r.Reason, r.Status)
	if r.RetryAfter > 0 {
		text += ", retry after " + duration(r.RetryAfter)
	}
	return text
}

// write writes the service and a table of its nodes. Columns of a table are aligned apart from those above it.
func (s *Service) write(w io.Writer) {
	fmt.Fprintf(w, "service\t%s, %.0f%% of the route, expected %s, answer within %s\n",
		s.Name, 100*s.Share, duration(s.ServiceTime), duration(s.AnswerWithin))
	fmt.Fprintf(w, "outcome\t%s\n", s.outcome())
	if s.Placement != Refuse {
		hedge := "none: " + s.NoHedge
		if s.HedgeAfter > 0 {
			hedge = fmt.Sprintf("after %s at %s", duration(s.HedgeAfter), s.HedgeNode)
		}
		fmt.Fprintf(w, "hedge\t%s\n", hedge)
	}
	if len(s.Nodes) > 0 {
		fmt.Fprint(w, "\n  NODE\tZONE\tUPSTREAM\tRUN\tWAIT\tLIMIT\tPACE\tLOAD AGE\tRATE\tRATE LEFT\tEXPECTED\tSTATE\n")
	}
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "  %s\t%s\t%s\t%d\t%d\t%d\t%d%%\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.Zone, n.Upstream, n.Running, n.Waiting, n.Limit, n.Pace,
			optional(n.LoadAge, duration), optional(n.RateLimit, rate), optional(n.RateLeft, number), duration(n.Expected), s.state(n))
	}
	if s.Omitted > 0 {
		fmt.Fprintf(w, "  and %d more\n", s.Omitted)
	}
}

func (s *Service) outcome() string {
	late := ""
	if s.Late {
		late = "; the answer is expected too late, and that node may refuse"
	}
	switch {
	case s.Placement == Refuse && s.Refusal != nil:
		return s.Refusal.text()
	case s.Placement == Queue:
		return "sent to " + s.Chosen + ", queues there" + late
	}
	return "sent to " + s.Chosen + " at once" + late
}

// state says whether the node would be chosen, and else why not.
func (s *Service) state(n Node) string {
	switch {
	case n.Name == s.Chosen && n.Compared && len(n.LeftOut) > 0: // no node is better
		return "chosen although " + strings.Join(n.LeftOut, ", ")
	case n.Name == s.Chosen && n.Compared:
		return "chosen"
	case len(n.LeftOut) > 0:
		return strings.Join(n.LeftOut, ", ")
	case n.Compared:
		return "compared"
	}
	return "eligible"
}

func optional(value *float64, format func(float64) string) string {
	if value == nil {
		return "-"
	}
	return format(*value)
}

func number(n float64) string { return strconv.FormatFloat(n, 'f', 1, 64) }

func rate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'g', 4, 64) + "/s" }

// duration formats a number of milliseconds.
func duration(milliseconds float64) string {
	d := time.Duration(milliseconds * float64(time.Millisecond))
	switch {
	case d >= 10*time.Second:
		return d.Round(time.Second).String()
	case d >= 10*time.Millisecond:
		return d.Round(time.Millisecond).String()
	}
	return d.Round(100 * time.Microsecond).String()
}
