package caller

import "time"

// Dialect defines the header fields by which callers and upstreams of a deployment exchange call metadata. Names are in
// canonical form; a field with an empty name is neither read nor written.
type Dialect struct {
	RequestID  string // ID of a request, echoed by upstreams
	TimeLimit  string // timeout of the caller in whole milliseconds
	Expect     string // ID of the only upstream incarnation that may run the request
	UpstreamID string // ID of the upstream incarnation that sent the response
	NotRun     string // present in a response when the upstream did not run the request
	Load       string // load of the upstream, in the format that ParseLoad reads
	Origin     string // service of the machine from which the request originates
	RateLimit  string // requests a second that the upstream takes from all nodes together, as a decimal number
	Leaving    string // present in a response, and not 0, when the upstream leaves
	Tenant     string // name of the tenant whose request it is, set by the entry node only
	Cold       string // time for which the upstream stays cold, in whole milliseconds, in responses to health checks

	// ParseLoad parses a value of the Load field. It returns false for a malformed value.
	ParseLoad func(value string) (UpstreamLoad, bool)
}

// UpstreamLoad is the load that an upstream reports.
type UpstreamLoad struct {
	Running            int
	Waiting            int
	Slots              int
	ServiceTimePercent int // current service time, in per cent of the usual; 0 when not reported
}

// Placement holds the data that the node beside an upstream needs in addition to the request's contract. It is set on
// requests that an entry node of package entry has placed.
type Placement struct {
	Host      string        // host that the caller addressed
	Origin    string        // service of the machine from which the request originates
	Upstream  string        // ID of the upstream incarnation chosen for the request
	Tenant    string        // tenant whose request it is, "" for none
	Priority  int           // 0 is the highest
	Objective time.Duration // latency objective, counted from the arrival of the request

	Repeatable bool // the request may run more than once
	Long       bool // the response is large; such requests share the slots with shorter ones
}
