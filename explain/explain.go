// Package explain holds the question where a request would go now, and the report that a node answers it with.
//
// Layout: a Report mirrors what one node knows: its contracts, the route, the tenant, and the candidate nodes of each service. All values
// are plain data; nothing here decides.
package explain

import (
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"strings"
)

const (
	// Path is the path on the operator's listener that takes a Question by POST.
	Path = "/explain"
	// MaxQuestionBytes and MaxReportBytes bound the encoded question and report.
	MaxQuestionBytes = 64 << 10
	MaxReportBytes   = 4 << 20
	// MaxNodes bounds the nodes that a report lists for one service, MaxServices the parts of a split.
	MaxNodes    = 256
	MaxServices = 16
	// MaxKeyBytes bounds the key of a tenant in a question.
	MaxKeyBytes = 4 << 10
)

// Key is the key of a tenant. It is encoded as JSON only; each other output of it is redacted.
type Key string

const redacted = "[redacted]"

// Format implements fmt.Formatter.
func (Key) Format(s fmt.State, _ rune) { _, _ = s.Write([]byte(redacted)) }

// LogValue implements slog.LogValuer.
func (Key) LogValue() slog.Value { return slog.StringValue(redacted) }

// Question describes a request without sending it.
type Question struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"` // with the query
	Size   int64  `json:"size"` // length of the body in bytes
	Key    Key    `json:"key,omitempty"`
}

// Validate reports the first part of the question that no request can have. No error contains the key.
func (q Question) Validate() error {
	parsed, err := url.ParseRequestURI(q.Path)
	switch {
	case q.Method == "" || strings.ContainsFunc(q.Method, notInMethod):
		return errors.New("the method is not a word such as GET")
	case q.Host == "" || strings.ContainsFunc(q.Host, isControl) || strings.ContainsAny(q.Host, " /?#@"):
		return errors.New("the host is not a name such as shop.example")
	case err != nil || !strings.HasPrefix(q.Path, "/") || parsed.Host != "":
		return errors.New("the path does not begin with a slash, or is not valid")
	case q.Size < 0:
		return errors.New("the size is negative")
	case len(q.Key) > MaxKeyBytes || strings.ContainsFunc(string(q.Key), isControl):
		return errors.New("the key is too long or contains control characters")
	}
	return nil
}

func notInMethod(r rune) bool { return r != '-' && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z') }

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// Values of Service.Placement.
const (
	Send   = "send"   // sent, and expected to run at once
	Queue  = "queue"  // sent, and expected to wait at the chosen node
	Refuse = "refuse" // refused without being sent
)

// Report is the answer of a node. Durations are in milliseconds.
type Report struct {
	Node      string    `json:"node"`
	Zone      string    `json:"zone"`
	Contracts Contracts `json:"contracts"`
	Route     *Route    `json:"route,omitempty"`
	Tenant    *Tenant   `json:"tenant,omitempty"`
	Refusal   *Refusal  `json:"refusal,omitempty"` // of the request at this node, before a service is drawn
	Services  []Service `json:"services,omitempty"`
}

// Contracts says which contracts are in force.
type Contracts struct {
	Version uint64 `json:"version"`
	// ProofAge is the age of the proof that they are the newest; only with strict revocation and once there is one.
	ProofAge *float64 `json:"proof_age_ms,omitempty"`
	Strict   bool     `json:"strict"`
	Fresh    bool     `json:"fresh"` // requests with keys are admitted
}

// Route is the route of the request.
type Route struct {
	Name      string  `json:"name"`
	Rule      string  `json:"rule"`
	Priority  int     `json:"priority"`
	Rank      int     `json:"rank"` // by which requests are queued: the priority with that of the tenant before it
	Objective float64 `json:"objective_ms"`
	TimeLimit float64 `json:"time_limit_ms"`
	Public    bool    `json:"public"`
}

// Tenant is the tenant that holds the key.
type Tenant struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	Quota    Quota  `json:"quota"`
}

// Quota is what the contracts say of a tenant's quota, and what this node knows of its use.
type Quota struct {
	PerSecond float64 `json:"per_second"` // 0 for no limit
	Burst     float64 `json:"burst"`
	State     string  `json:"state"` // what this node knows, "" for nothing
}

// Refusal is the answer that the caller would get.
type Refusal struct {
	Reason     string  `json:"reason"`
	Status     int     `json:"status"`
	RetryAfter float64 `json:"retry_after_ms,omitempty"`
}

// Service is one part of the route's split, and what would happen to the request there.
type Service struct {
	Name         string   `json:"name"`
	Weight       int      `json:"weight"`
	Share        float64  `json:"share"`              // of the route's requests
	ServiceTime  float64  `json:"service_time_ms"`    // expected for the route
	AnswerWithin float64  `json:"answer_within_ms"`   // time in which the request is to be answered
	Placement    string   `json:"placement"`          // Send, Queue or Refuse
	Chosen       string   `json:"chosen,omitempty"`   // node
	Late         bool     `json:"late"`               // the answer is expected too late: the chosen node may refuse
	Refusal      *Refusal `json:"refusal,omitempty"`  // with Refuse
	HedgeAfter   float64  `json:"hedge_ms,omitempty"` // 0 for no hedge
	HedgeNode    string   `json:"hedge_at,omitempty"` // the node that would get it
	NoHedge      string   `json:"no_hedge,omitempty"` // why there is none
	Nodes        []Node   `json:"nodes"`              // all nodes of the service, by name
	Omitted      int      `json:"omitted,omitempty"`  // nodes beyond MaxNodes
}

// Node is a node of a service.
type Node struct {
	Name      string   `json:"name"`
	Zone      string   `json:"zone"`
	Upstream  string   `json:"upstream"`
	Running   int      `json:"running"`
	Waiting   int      `json:"waiting"`
	Limit     int      `json:"limit"`
	Pace      int      `json:"pace"`                  // service time in per cent of the usual
	LoadAge   *float64 `json:"load_age_ms,omitempty"` // absent while the load is not known
	RateLimit *float64 `json:"rate_limit,omitempty"`  // requests a second, named by the upstream or while it is cold
	RateLeft  *float64 `json:"rate_left,omitempty"`   // requests that may start at once
	Expected  float64  `json:"expected_ms"`           // until the answer, with penalties
	LeftOut   []string `json:"left_out,omitempty"`    // why the node is not compared
	Compared  bool     `json:"compared"`              // in the sample that was drawn
}
