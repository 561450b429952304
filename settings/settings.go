// Package settings reads and validates the TOML settings of one node. Decoding is strict: an unknown key,
// a value of the wrong type and a value out of range are errors that name the file, the key, the value and
// the permitted values. Decode and ReferenceOf also serve settings structs of other packages.
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

// Settings are the settings of one node. The field comments document each key; the key in the file is the
// toml tag.
type Settings struct {
	// ID identifies the instance. It must be unique in the fleet and stay the same across restarts.
	// Required; letters, digits, '.', '_' and '-', at most 64 bytes.
	ID string `toml:"id" validate:"required,name"`
	// DataCentre names the data centre of the instance. Required; same form as id.
	DataCentre string `toml:"data_centre" validate:"required,name"`
	// Region names the region of the data centre. Required; same form as id.
	Region string `toml:"region" validate:"required,name"`
	// Seeds lists peer addresses (host:port) of nodes that are asked for the members of the fleet when the store is down.
	Seeds []string `toml:"seeds" validate:"max=64,dive,hostport"`
	// TrustedKeys lists the public key files of bundle signers, as `magnoliawharf bundle keygen`
	// writes them (name.pub). Relative paths are relative to the directory of the settings file. Required.
	TrustedKeys []string `toml:"trusted_keys" validate:"required,min=1,max=32,dive,required,max=4096"`

	// Listen holds the addresses that the node binds.
	Listen Listen `toml:"listen"`
	// Advertise holds the addresses at which callers and other nodes reach the node.
	Advertise Advertise `toml:"advertise"`
	// Store configures access to the platform's key-value service.
	Store Store `toml:"store"`
	// Limits bounds the requests and connections of callers.
	Limits Limits `toml:"limits"`
	// Runtime holds the settings of the node's process.
	Runtime Runtime `toml:"runtime"`
}

// Listen holds the addresses that the node binds. Port 0 takes a free port.
type Listen struct {
	// Callers is the address for callers (HTTP/1.1 and HTTP/2 in clear text). Required.
	Callers string `toml:"callers" validate:"required,listen"`
	// Peers is the address for other nodes. Required.
	Peers string `toml:"peers" validate:"required,listen"`
	// Local is the address for announcements of the upstream, /metrics, /healthz and /readyz.
	// Required; a loopback address, since anyone who can reach it can announce an upstream.
	Local string `toml:"local" validate:"required,listen,loopback"`
}

// Advertise holds the addresses at which callers and other nodes reach the node. An empty address means the
// listen address, which must then contain an IP address.
type Advertise struct {
	// Callers is the host:port for callers.
	Callers string `toml:"callers" validate:"omitempty,hostport"`
	// Peers is the host:port for other nodes.
	Peers string `toml:"peers" validate:"omitempty,hostport"`
}

// Store configures access to the platform's key-value service.
type Store struct {
	// Endpoints lists the base URLs of the store. Without one the node relies on its seeds.
	Endpoints []string `toml:"endpoints" validate:"max=16,dive,http_url"`
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// MaxRequestBody is the largest request body, such as "64MiB". Default 1GiB.
	MaxRequestBody Size `toml:"max_request_body" validate:"min=1024"`
	// MaxConnections is the maximum number of concurrent connections from callers. Further connections wait
	// to be accepted. Default 10000.
	MaxConnections int `toml:"max_connections" validate:"min=1,max=1000000"`
}

// Runtime holds the settings of the node's process.
type Runtime struct {
	// GCPercent is the heap growth that triggers a garbage collection, in per cent. Default 400.
	GCPercent int `toml:"gc_percent" validate:"min=10,max=10000"`
	// MemoryLimit is the soft memory limit of the process, such as "128MiB". Default 512MiB.
	MemoryLimit Size `toml:"memory_limit" validate:"min=16777216"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error"`
	// StopTimeout bounds the wait for requests in flight during a graceful stop. Default 30s.
	StopTimeout Duration `toml:"stop_timeout" validate:"min=1000000,max=86400000000000"`
	// DrainNotice is how long a stopping node keeps its listeners open and refuses new requests for its upstream,
	// so that other nodes learn of the stop before the listeners close. Default 3s.
	DrainNotice Duration `toml:"drain_notice" validate:"min=0,max=60000000000"`
}

// Default returns settings in which the optional ones have their default values.
func Default() Settings {
	return Settings{
		Limits: Limits{MaxRequestBody: DefaultMaxRequestBody, MaxConnections: DefaultMaxConnections},
		Runtime: Runtime{
			GCPercent: DefaultGCPercent, MemoryLimit: DefaultMemoryLimit, LogLevel: "info",
			StopTimeout: Duration(DefaultStopTimeout), DrainNotice: Duration(DefaultDrainNotice),
		},
	}
}
