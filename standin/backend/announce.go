package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
)

const (
	announceTimeout = 500 * time.Millisecond
	// announcementsPerTTL tolerates two lost announcements before the last received one expires.
	announcementsPerTTL = 3
)

// announce sends announcements periodically and on announceNow, until Close.
func (b *Backend) announce() {
	ticker := time.NewTicker(b.options.TTL / announcementsPerTTL)
	defer ticker.Stop()
	for {
		b.announceOnce()
		select {
		case <-b.done:
			return
		case <-b.wake:
		case <-ticker.C:
		}
	}
}

func (b *Backend) announceNow() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Backend) announceOnce() {
	body, ok := b.announcement()
	if !ok {
		return
	}
	if err := b.send(http.MethodPost, body); err != nil {
		b.options.Log.Debug("announcement failed", "err", err)
	}
}

func (b *Backend) announcement() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil || b.faults.Silent {
		return nil, false
	}
	load := b.inUse
	body, err := json.Marshal(upstreamhttp.Announcement{
		Service: b.options.Service, Address: b.addr, State: b.state(),
		Slots: b.options.Slots, TTLMilliseconds: int(b.options.TTL.Milliseconds()), Load: &load, Process: b.process,
	})
	return body, err == nil
}

// state is called with the lock held.
func (b *Backend) state() string {
	switch {
	case b.draining:
		return "draining"
	case time.Now().Before(b.coldUntil):
		return "cold"
	default:
		return "ready"
	}
}

// deregister withdraws the announcement.
func (b *Backend) deregister() {
	if b.options.Node == "" {
		return
	}
	if err := b.send(http.MethodDelete, nil); err != nil {
		b.options.Log.Debug("withdrawing the announcement failed", "err", err)
	}
}

func (b *Backend) send(method string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.options.Node+upstreamhttp.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := b.client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
