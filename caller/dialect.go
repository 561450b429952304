package caller

import "time"

// Dialect names the header fields that callers and upstreams of a deployment use. Names are canonical; an empty one is
// not used.
type Dialect struct {
	RequestID  string // ID of a request, echoed by upstreams
	TimeLimit  string // whole milliseconds that the caller waits
	Expect     string // ID of the only upstream incarnation that may run the request
	UpstreamID string // ID of the upstream incarnation that answers
	NotRun     string // set on an answer that says that the request was not run
	Load       string // load of the upstream, in the form that ParseLoad reads
	Origin     string // service of the machine at which the request began

	// ParseLoad reads a value of Load. It returns false for one that cannot be read.
	ParseLoad func(value string) (UpstreamLoad, bool)
}

// UpstreamLoad is what an upstream says of its load.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
	Pace    int // time that work takes now, in per cent of the usual; 0 when it does not say
}

// Placement is what the node beside an upstream needs to know of a request beside its contract. It is set for requests
// that were placed by an entry node of package entry.
type Placement struct {
	Host      string        // host that the caller addressed
	Origin    string        // service of the machine at which the request began
	Upstream  string        // ID of the upstream incarnation for which the request was placed
	Priority  int           // 0 is served first
	Objective time.Duration // time within which an answer has its full value, counted from the request's arrival

	Repeatable bool // the request may run more than once
	Long       bool // the answer is large: it shares the slots with shorter work
}
