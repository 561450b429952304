package sidecar

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/magnoliawharf/magnoliawharf/contract"
)

// maxDocumentBytes bounds a decompressed document of contracts.
const maxDocumentBytes = 8 << 20

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
	s.writeClaim(w.Header(), current.Version)
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
