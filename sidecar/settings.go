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
)

// Settings are the settings of one sidecar node. The field comments are the settings reference; the names in the file
// are those of the toml tags.
type Settings struct {
	// Node names the machine. Required; letters, digits, '.', '_' and '-', at most 64 bytes.
	Node string `toml:"node" validate:"required,name"`
	// Zone names the data centre of the machine. Required; same form as node.
	Zone string `toml:"zone" validate:"required,name"`
	// Region names the region of the zone. Required; same form as node.
	Region string `toml:"region" validate:"required,name"`

	// Upstream describes the upstream beside the node.
	Upstream Upstream `toml:"upstream"`
	// Listen holds the addresses that the node binds and is reached at.
	Listen Listen `toml:"listen"`
	// Store says how the platform's key-value store is reached.
	Store Store `toml:"store"`
	// Retries bounds the retries of all nodes together.
	Retries Retries `toml:"retries"`
	// Routing sets how upstreams are chosen.
	Routing Routing `toml:"routing"`
	// Runtime holds the settings of the process.
	Runtime Runtime `toml:"runtime"`
}

// Upstream describes the upstream beside the node.
type Upstream struct {
	// Service is the name of its service. Required.
	Service string `toml:"service" validate:"required,max=128"`
	// Address is where it serves HTTP, as host:port. Required.
	Address string `toml:"address" validate:"required,hostport"`
	// AnnounceEvery is how often it announces itself. Default 1.5s.
	AnnounceEvery settings.Duration `toml:"announce_every" validate:"min=1000000"`
	// SlotShare is the share of its slots that the node fills; upstreams slow down when they are nearly full. Default 0.75.
	SlotShare float64 `toml:"slot_share" validate:"gt=0,lte=1"`
}

// Listen holds the addresses that the node binds and is reached at.
type Listen struct {
	// Callers takes requests of the callers on the machine. Required.
	Callers string `toml:"callers" validate:"required,hostport"`
	// Peers takes requests that other nodes forward. Required.
	Peers string `toml:"peers" validate:"required,hostport"`
	// Advertised is the host:port under which other nodes reach Peers when it is not the bound address, such as behind a
	// port mapping. Default: the bound address.
	Advertised string `toml:"advertised" validate:"omitempty,hostport"`
	// Datagrams takes UDP messages of other nodes. Required; an IPv4 address and port.
	Datagrams string `toml:"datagrams" validate:"required,hostport"`
	// Registration takes announcements of the upstream. Required.
	Registration string `toml:"registration" validate:"required,hostport"`
	// Ready takes the platform's question whether the node is ready. Required.
	Ready string `toml:"ready" validate:"required,hostport"`
	// Metrics serves /metrics. Required.
	Metrics string `toml:"metrics" validate:"required,hostport"`
}

// Store says how the platform's key-value store is reached.
type Store struct {
	// Address is the host:port of the store. Required.
	Address string `toml:"address" validate:"required,hostport"`
}

// Retries bounds the retries of all nodes together. In each window a service gets at most ratio times its requests
// and the allowance as retries; the node keeps to its share of half of that.
type Retries struct {
	// Ratio is the number of retries per request. Default 0.2.
	Ratio float64 `toml:"ratio" validate:"gte=0,lte=1"`
	// Allowance is the number of retries beside the ratio, for all nodes together. Default 50.
	Allowance float64 `toml:"allowance" validate:"gte=0"`
}

// Routing sets how upstreams are chosen.
type Routing struct {
	// FreshFor is the age up to which a known load is used without asking again. Default 20ms.
	FreshFor settings.Duration `toml:"fresh_for" validate:"min=0,max=1000000000"`
	// ZoneCost is the time to the answer that moving 1 KiB between zones must save. Default 0.
	ZoneCost settings.Duration `toml:"zone_cost" validate:"min=0,max=1000000000"`
}

// Runtime holds the settings of the process.
type Runtime struct {
	// Memory is the memory that the process may use, such as "284MiB". Default 256MiB.
	Memory settings.Size `toml:"memory" validate:"min=33554432"`
	// Descriptors is the number of descriptors that the process may use. Default 4096.
	Descriptors int `toml:"descriptors" validate:"min=256"`
	// Grace is the time from SIGTERM to SIGKILL. Default 10s.
	Grace settings.Duration `toml:"grace" validate:"min=1000000000"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`
}

// DefaultSettings returns the settings with the defaults of the optional ones.
func DefaultSettings() Settings {
	return Settings{
		Upstream: Upstream{AnnounceEvery: settings.Duration(1500 * time.Millisecond), SlotShare: defaultSlotShare},
		Retries:  Retries{Ratio: 0.2, Allowance: 50},
		Routing:  Routing{FreshFor: settings.Duration(defaultFreshFor)},
		Runtime:  Runtime{Memory: 256 << 20, Descriptors: 4096, Grace: settings.Duration(defaultGrace), LogLevel: "info"},
	}
}

// LoadSettings reads and checks a settings file. The error joins one *settings.Error per fault.
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
