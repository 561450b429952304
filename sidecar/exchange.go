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
	// sameZoneFetchDelay is how long a node that learns of a newer version from a node of its own zone waits for its own
	// watch to deliver it. otherZoneFetchDelay is how long it waits for its own zone to deliver it when it learns of it from
	// another zone.
	sameZoneFetchDelay  = 100 * time.Millisecond
	otherZoneFetchDelay = 400 * time.Millisecond
	// fetchTimeout bounds fetching the contracts from another node.
	fetchTimeout = time.Second
	// maxDocumentBytes bounds a decompressed document of contracts.
	maxDocumentBytes = 8 << 20
)

// handlePeerVersion fetches the contracts from a node that has a newer version, unless the store or a node of its own zone
// delivers them first. A node without contracts fetches at once.
func (s *Sidecar) handlePeerVersion(version uint64, from netip.AddrPort) {
	if version <= s.contracts.Version() || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetching.Store(false)
		switch {
		case s.contracts.Load() == nil:
		case s.roster.InZone(from):
			time.Sleep(sameZoneFetchDelay)
		default:
			time.Sleep(otherZoneFetchDelay)
		}
		address := s.roster.ForwardAddress(from)
		if version <= s.contracts.Version() || address == "" {
			return
		}
		document, err := s.fetchContracts(address)
		if err != nil {
			s.Log.Warn("cannot fetch contracts from peer", "peer", address, "version", version, "cause", err.Error())
			return
		}
		s.adopt(document, address, "")
	}()
}

func (s *Sidecar) fetchContracts(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+contractsPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := s.fetchClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return decompress(response.Body)
}

// serveContracts serves the current contracts to nodes with an older version, compressed.
func (s *Sidecar) serveContracts(w http.ResponseWriter, _ *http.Request) {
	current := s.contracts.Load()
	if current == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	document, err := s.compressed.get(current)
	if err != nil {
		s.Log.Error("cannot compress contracts", "version", current.Version, "cause", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(document) // after a failed write the peer fetches again
}

// compressedContracts caches the compressed document of one version. Compression matters because many nodes fetch a new
// version from the first node that has it, whose link may be slow.
type compressedContracts struct {
	mu       sync.Mutex
	version  uint64
	document []byte
}

// get returns the compressed document of c.
func (cache *compressedContracts) get(c *contract.Contracts) ([]byte, error) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.document != nil && cache.version == c.Version {
		return cache.document, nil
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(c.Source); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	cache.version, cache.document = c.Version, compressed.Bytes()
	return cache.document, nil
}

// decompress reads a gzip-compressed document of at most maxDocumentBytes.
func decompress(from io.Reader) ([]byte, error) {
	reader, err := gzip.NewReader(from)
	if err != nil {
		return nil, fmt.Errorf("decompress contracts: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress contracts: %w", err)
	}
	return document, nil
}
