package upstreamhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// AnnouncePath is the path of announcements on the local listener. POST announces the upstream or renews its
// announcement, DELETE withdraws it.
const AnnouncePath = "/v1/announcement"

const (
	maxAnnouncementSize = 4 << 10 // bytes
	maxSlots            = 1 << 16 // requests
	maxProcessLength    = 64      // bytes
)

var servicePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Announcement is the JSON document with which an upstream announces itself.
type Announcement struct {
	// Service is the name of the service that the upstream serves.
	Service string `json:"service"`
	// Address is the IP address and port at which the upstream serves HTTP.
	Address string `json:"address"`
	// State is "ready", "cold" or "draining".
	State string `json:"state"`
	// Slots is the number of requests that the upstream can run at the same time.
	Slots int `json:"slots"`
	// TTLMilliseconds is the time for which the announcement is valid, 1 to 2000.
	TTLMilliseconds int `json:"ttl_ms"`
	// Load is the number of requests that the upstream is running. It is optional.
	Load *int `json:"load,omitempty"`
	// Process identifies the process of the upstream, so that a restart within the TTL is detected. It is
	// optional, up to 64 bytes, and differs between two processes at the same address.
	Process string `json:"process,omitempty"`
}

// Announcer receives the announcements of the upstream beside the node.
type Announcer interface {
	// Announce records an announcement that was received at now.
	Announce(now time.Time, a upstream.Announcement)
	// Deregister withdraws the announcement.
	Deregister(now time.Time)
}

// AnnounceHandler is the http.Handler for AnnouncePath.
type AnnounceHandler struct{ Announcer Announcer }

// ServeHTTP implements http.Handler.
func (h *AnnounceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		announcement, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementSize))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.Announcer.Announce(time.Now(), announcement)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		h.Announcer.Deregister(time.Now())
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Allow", "POST, DELETE")
		http.Error(w, "method not allowed: use POST to announce, DELETE to withdraw", http.StatusMethodNotAllowed)
	}
}

func readAnnouncement(body io.Reader) (upstream.Announcement, error) {
	var wire Announcement
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return upstream.Announcement{}, fmt.Errorf("announcement: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return upstream.Announcement{}, errors.New("announcement: data after the JSON object")
	}
	return wire.validate()
}

var announcedStates = map[string]instance.State{
	"ready": instance.Ready, "cold": instance.Cold, "draining": instance.Draining,
}

func (a Announcement) validate() (upstream.Announcement, error) {
	state, known := announcedStates[a.State]
	switch {
	case !servicePattern.MatchString(a.Service):
		return upstream.Announcement{}, fmt.Errorf("announcement: service %q is not a name of 1 to 64 letters, digits, '.', '_' or '-' that begins with a letter or digit", a.Service)
	case !validAddress(a.Address):
		return upstream.Announcement{}, fmt.Errorf("announcement: address %q is not an IP address with a port", a.Address)
	case !known:
		return upstream.Announcement{}, fmt.Errorf("announcement: state %q is not one of ready, cold, draining", a.State)
	case a.Slots < 1 || a.Slots > maxSlots:
		return upstream.Announcement{}, fmt.Errorf("announcement: slots %d is not in the range from 1 to %d", a.Slots, maxSlots)
	case a.TTLMilliseconds < 1 || int64(a.TTLMilliseconds) > upstream.MaxTimeToLive.Milliseconds():
		return upstream.Announcement{}, fmt.Errorf("announcement: ttl_ms %d is not in the range from 1 to %d", a.TTLMilliseconds, upstream.MaxTimeToLive.Milliseconds())
	case len(a.Process) > maxProcessLength:
		return upstream.Announcement{}, fmt.Errorf("announcement: process is longer than %d bytes", maxProcessLength)
	case a.Load != nil && (*a.Load < 0 || *a.Load > maxSlots):
		return upstream.Announcement{}, fmt.Errorf("announcement: load %d is not in the range from 0 to %d", *a.Load, maxSlots)
	}
	return upstream.Announcement{
		Service: a.Service, Addr: a.Address, State: state, Slots: a.Slots,
		TimeToLive: time.Duration(a.TTLMilliseconds) * time.Millisecond, Process: a.Process,
	}, nil
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
