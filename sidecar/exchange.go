package sidecar

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/contract"
)

const (
	// watchGrace is the time for which a node that hears of a newer version from its zone waits for its own watch to bring
	// it, and zoneGrace that for which it waits for its zone when it hears of it from another.
	watchGrace = 100 * time.Millisecond
	zoneGrace  = 400 * time.Millisecond
	// fetchTimeout bounds the fetching of contracts from another node.
	fetchTimeout = time.Second
	// maxDocument bounds a document of contracts, in bytes.
	maxDocument = 8 << 20
)

// versionSeen fetches the contracts of a node that has newer ones, unless the store brings them first.
func (s *Sidecar) versionSeen(version uint64, from netip.AddrPort) {
	if version <= s.contracts.Version() || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetching.Store(false)
		switch {
		case s.contracts.Load() == nil:
		case s.roster.InZone(from):
			time.Sleep(watchGrace)
		default:
			time.Sleep(zoneGrace)
		}
		address := s.roster.ForwardAddress(from)
		if version <= s.contracts.Version() || address == "" {
			return
		}
		document, err := s.fetch(address)
		if err != nil {
			s.Log.Warn("contracts not fetched", "peer", address, "version", version, "cause", err.Error())
			return
		}
		s.adopt(document, address, "")
	}()
}

func (s *Sidecar) fetch(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+contractsPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := s.control.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return unpack(response.Body)
}

// serveContracts gives the contracts in force to a node that lags.
func (s *Sidecar) serveContracts(w http.ResponseWriter, _ *http.Request) {
	current := s.contracts.Load()
	if current == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	document, err := s.packed.of(current)
	if err != nil {
		s.Log.Error("contracts not packed", "version", current.Version, "cause", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(document) // a node that has gone fetches again
}

// packedContracts holds the document of one version as it goes to other nodes. Many nodes fetch a new version from the one
// that was first to have it, whose link may be slow.
type packedContracts struct {
	mu       sync.Mutex
	version  uint64
	document []byte
}

// of returns the packed document of the contracts.
func (p *packedContracts) of(c *contract.Contracts) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.document != nil && p.version == c.Version {
		return p.document, nil
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(c.Source); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	p.version, p.document = c.Version, packed.Bytes()
	return p.document, nil
}

// unpack reads a packed document.
func unpack(from io.Reader) ([]byte, error) {
	reader, err := gzip.NewReader(from)
	if err != nil {
		return nil, fmt.Errorf("unpack contracts: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocument))
	if err != nil {
		return nil, fmt.Errorf("unpack contracts: %w", err)
	}
	return document, nil
}
