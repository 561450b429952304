package sidecar

import (
	"time"

	"github.com/magnoliawharf/magnoliawharf/settings"
)

// Defaults of the optional settings.
const (
	defaultFreshFor  = 20 * time.Millisecond
	defaultSlotShare = 0.75
	defaultGrace     = 10 * time.Second

	defaultRevocationBound = 5 * time.Second
)

// Settings holds the settings of one sidecar node. The field comments are the settings reference; the toml tags are the
// names in the file.
type Settings struct {
	// Node names the instance. Required; letters, digits, '.', '_' and '-', at most 64 bytes.
	Node string `toml:"node" validate:"required,name"`
	// Zone names the data centre of the instance. Required; same form as node.
	Zone string `toml:"zone" validate:"required,name"`
	// Region names the region of the data centre. Required; same form as node.
	Region string `toml:"region" validate:"required,name"`

	// Upstream describes the upstream beside the node.
	Upstream Upstream `toml:"upstream"`
	// Listen holds the addresses at which the node listens and is reached.
	Listen Listen `toml:"listen"`
	// Store locates the platform's key-value store.
	Store Store `toml:"store"`
	// Retries bounds the retries of all nodes together.
	Retries Retries `toml:"retries"`
	// Hedging bounds the second attempts sent beside late first ones.
	Hedging Hedging `toml:"hedging"`
	// Routing configures the choice of upstreams.
	Routing Routing `toml:"routing"`
	// Revocation bounds the time for which a withdrawn key is accepted.
	Revocation Revocation `toml:"revocation"`
	// Runtime holds the settings of the process.
	Runtime Runtime `toml:"runtime"`
}

// Upstream describes the upstream beside the node.
type Upstream struct {
	// Service is the name of its service. Required.
	Service string `toml:"service" validate:"required,max=128"`
	// Address is where it serves HTTP, as host:port. Required.
	Address string `toml:"address" validate:"required,hostport"`
	// AnnounceEvery is the interval of its announcements. Default 1.5s.
	AnnounceEvery settings.Duration `toml:"announce_every" validate:"min=1000000"`
	// SlotShare is the share of its slots that the node uses; upstreams slow down when they are nearly full. Default 0.75.
	SlotShare float64 `toml:"slot_share" validate:"gt=0,lte=1"`
}

// Listen holds the addresses at which the node listens and is reached.
type Listen struct {
	// Callers takes requests of the callers on the instance. Required.
	Callers string `toml:"callers" validate:"required,hostport"`
	// Peers takes requests forwarded by other nodes. Required.
	Peers string `toml:"peers" validate:"required,hostport"`
	// Advertised is the host:port under which other nodes reach Peers when it is not the bound address, such as behind a
	// port mapping. Default: the bound address.
	Advertised string `toml:"advertised" validate:"omitempty,hostport"`
	// Datagrams takes UDP messages from other nodes. Required; an IPv4 address and port.
	Datagrams string `toml:"datagrams" validate:"required,hostport"`
	// Registration takes announcements of the upstream. Required.
	Registration string `toml:"registration" validate:"required,hostport"`
	// Ready serves the platform's readiness probe. Required.
	Ready string `toml:"ready" validate:"required,hostport"`
	// Metrics serves /metrics. Required.
	Metrics string `toml:"metrics" validate:"required,hostport"`
	// Operator answers the command "sidecar explain". Whoever reaches it can try keys and learns the state of the fleet: use a loopback
	// address. Default: empty, for no such listener.
	Operator string `toml:"operator" validate:"omitempty,hostport"`
}

// Store locates the platform's key-value store.
type Store struct {
	// Address is the host:port of the store. Required.
	Address string `toml:"address" validate:"required,hostport"`
}

// Retries bounds the retries of all nodes together. In each window a service gets at most ratio times its requests plus the
// allowance as retries. The nodes together use half of that; the rest covers nested calls of retried requests.
type Retries struct {
	// Ratio is the number of retries per request. Default 0.2.
	Ratio float64 `toml:"ratio" validate:"gte=0,lte=1"`
	// Allowance is the number of retries in addition to the ratio, for all nodes together. Default 50.
	Allowance float64 `toml:"allowance" validate:"gte=0"`
}

// delayByObjective is the value of Hedging.Delay by which the delay before a hedge follows from the objective.
const delayByObjective = "objective"

// Hedging bounds the second attempts that are sent beside late first attempts of repeatable requests. They count as retries
// too: together, retries and hedges stay within the limits of Retries.
type Hedging struct {
	// Ratio is the largest share of a service's requests that are hedged, of each node and so of all nodes together. 0 turns
	// hedges off. Default 1: the limits of Retries alone bound hedges.
	Ratio float64 `toml:"ratio" validate:"gte=0,lte=1"`
	// Delay says what the time before a hedge follows from: "objective", the latency objective of the route and its usual time, or
	// "measured", the 95th percentile of its recent times; hedges then also fade out where they do not help. Default objective.
	Delay string `toml:"delay" validate:"oneof=objective measured"`
}

// Routing configures the choice of upstreams.
type Routing struct {
	// FreshFor is the age up to which a known load is used without querying it again. Default 20ms.
	FreshFor settings.Duration `toml:"fresh_for" validate:"min=0,max=1000000000"`
	// ZoneCost is the response time that an upstream in another data centre must save per KiB transferred. Default 0.
	ZoneCost settings.Duration `toml:"zone_cost" validate:"min=0,max=1000000000"`
}

// Revocation bounds the time for which a withdrawn key is accepted.
type Revocation struct {
	// Strict refuses requests with a key while the node cannot prove that its contracts were the newest ones within the bound.
	// Default false.
	Strict bool `toml:"strict"`
	// Bound is the time after the withdrawal of a key from which no request with it may run, on any node. Default 5s.
	Bound settings.Duration `toml:"bound" validate:"min=1000000000"`
}

// Runtime holds the settings of the process.
type Runtime struct {
	// Memory is the memory that the process may use, such as "284MiB". Default 256MiB.
	Memory settings.Size `toml:"memory" validate:"min=33554432"`
	// Descriptors is the number of file descriptors that the process may use. Default 4096.
	Descriptors int `toml:"descriptors" validate:"min=256"`
	// Grace is the time from SIGTERM to SIGKILL. Default 10s.
	Grace settings.Duration `toml:"grace" validate:"min=1000000000"`
	// LogLevel is the minimum level that is logged: debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`
}

// DefaultSettings returns the settings with the defaults of the optional ones.
func DefaultSettings() Settings {
	return Settings{
		Upstream:   Upstream{AnnounceEvery: settings.Duration(1500 * time.Millisecond), SlotShare: defaultSlotShare},
		Retries:    Retries{Ratio: 0.2, Allowance: 50},
		Hedging:    Hedging{Ratio: 1, Delay: delayByObjective},
		Routing:    Routing{FreshFor: settings.Duration(defaultFreshFor)},
		Revocation: Revocation{Bound: settings.Duration(defaultRevocationBound)},
		Runtime:    Runtime{Memory: 256 << 20, Descriptors: 4096, Grace: settings.Duration(defaultGrace), LogLevel: "info"},
	}
}

// LoadSettings reads and validates a settings file. The error joins one *settings.Error per fault.
func LoadSettings(file string) (Settings, error) {
	loaded := DefaultSettings()
	data, err := settings.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	if err := settings.Decode(file, data, &loaded); err != nil {
		return Settings{}, err
	}
	return loaded, nil
}
