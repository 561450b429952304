// Package settings reads the TOML settings of one node. Decoding is strict: a key that this package
// does not know, a value of the wrong type and a value out of range are errors that name the file,
// the key, the value and what is allowed.
package settings

import (
	"time"
)

// Defaults of the optional settings.
const (
	DefaultGCPercent      = 400
	DefaultMemoryLimit    = 512 << 20 // bytes
	DefaultStopTimeout    = 30 * time.Second
	DefaultDrainNotice    = 3 * time.Second
	DefaultMaxRequestBody = 1 << 30 // bytes
	DefaultMaxConnections = 10_000
)

// Settings are the settings of one node. The field comments are the settings reference; the names
// in the file are those of the toml tags.
type Settings struct {
	// ID names the instance. It is unique in the fleet and stays the same over restarts.
	// Required; letters, digits, '.', '_' and '-', at most 64 bytes.
	ID string `toml:"id" validate:"required,name"`
	// DataCentre names the data centre of the instance. Required; same form as id.
	DataCentre string `toml:"data_centre" validate:"required,name"`
	// Region names the region of the data centre. Required; same form as id.
	Region string `toml:"region" validate:"required,name"`
	// Seeds lists peer addresses (host:port) asked for the fleet when the store is down.
	Seeds []string `toml:"seeds" validate:"max=64,dive,hostport"`
	// TrustedKeys lists the public key files of bundle signers, as `magnoliawharf bundle keygen`
	// writes them (name.pub). Relative paths start at the folder of the settings file. Required.
	TrustedKeys []string `toml:"trusted_keys" validate:"required,min=1,max=32,dive,required,max=4096"`

	// Listen holds the addresses that the node binds.
	Listen Listen `toml:"listen"`
	// Advertise holds the addresses under which others reach the node.
	Advertise Advertise `toml:"advertise"`
	// Store says how the platform's key-value service is reached.
	Store Store `toml:"store"`
	// Limits bounds what one caller may send.
	Limits Limits `toml:"limits"`
	// Runtime holds the settings of the process.
	Runtime Runtime `toml:"runtime"`
}

// Listen holds the addresses that the node binds. Port 0 takes a free port.
type Listen struct {
	// Callers is the address for callers (HTTP/1.1 and HTTP/2 in clear text). Required.
	Callers string `toml:"callers" validate:"required,listen"`
	// Peers is the address for other nodes. Required.
	Peers string `toml:"peers" validate:"required,listen"`
	// Local is the address for announcements of the upstream, /metrics, /healthz and /readyz.
	// Required; a loopback address, since whoever reaches it can announce an upstream.
	Local string `toml:"local" validate:"required,listen,loopback"`
}

// Advertise holds the addresses under which others reach the node. An empty address means the
// bound one, which must then name an IP address.
type Advertise struct {
	// Callers is the host:port for callers.
	Callers string `toml:"callers" validate:"omitempty,hostport"`
	// Peers is the host:port for other nodes.
	Peers string `toml:"peers" validate:"omitempty,hostport"`
}

// Store says how the platform's key-value service is reached.
type Store struct {
	// Endpoints lists the base URLs of the store. Without one the node relies on its seeds.
	Endpoints []string `toml:"endpoints" validate:"max=16,dive,http_url"`
}

// Limits bounds what one caller may send.
type Limits struct {
	// MaxRequestBody is the largest request body, such as "64MiB". Default 1GiB.
	MaxRequestBody Size `toml:"max_request_body" validate:"min=1024"`
	// MaxConnections is the number of connections of callers that are served at the same time.
	// Further ones wait to be accepted. Default 10000.
	MaxConnections int `toml:"max_connections" validate:"min=1,max=1000000"`
}

// Runtime holds the settings of the process.
type Runtime struct {
	// GCPercent is the heap growth that starts a garbage collection, in per cent. Default 400.
	GCPercent int `toml:"gc_percent" validate:"min=10,max=10000"`
	// MemoryLimit is the soft memory limit of the process, such as "128MiB". Default 512MiB.
	MemoryLimit Size `toml:"memory_limit" validate:"min=16777216"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`
	// StopTimeout bounds the wait for requests in flight at a planned stop. Default 30s.
	StopTimeout Duration `toml:"stop_timeout" validate:"min=1000000,max=86400000000000"`
	// DrainNotice is the time for which a stopping node goes on refusing new work for its upstream
	// before it closes its listeners, so that other nodes learn of the stop first. Default 3s.
	DrainNotice Duration `toml:"drain_notice" validate:"min=0,max=60000000000"`
}

// Default returns the settings with the defaults of the optional ones.
func Default() Settings {
	return Settings{
		Limits: Limits{MaxRequestBody: DefaultMaxRequestBody, MaxConnections: DefaultMaxConnections},
		Runtime: Runtime{
			GCPercent: DefaultGCPercent, MemoryLimit: DefaultMemoryLimit, LogLevel: "info",
			StopTimeout: Duration(DefaultStopTimeout), DrainNotice: Duration(DefaultDrainNotice),
		},
	}
}
