package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

// Paths for controlling a backend that runs as its own process.
const (
	RunsPath   = "/standin/runs"   // GET: runs by idempotency key
	FaultsPath = "/standin/faults" // POST: Faults as JSON
)

const (
	maxFaultsBytes   = 4 << 10  // bytes of a Faults document
	maxNestedBytes   = 1 << 20  // bytes read of a nested response
	chunkSize        = 32 << 10 // bytes written at a time
	maxResponseBytes = 4 << 30  // bytes of a streamed response
)

// Echo is the response to a request.
type Echo struct {
	Run       string          `json:"run"` // unique ID of this run
	Service   string          `json:"service"`
	Addr      string          `json:"addr"`
	Method    string          `json:"method"`
	Path      string          `json:"path"`
	Key       string          `json:"key,omitempty"`
	KeyRuns   int             `json:"key_runs,omitempty"` // runs of the key at this backend, including this one
	BodyBytes int64           `json:"body_bytes"`
	Chain     string          `json:"chain,omitempty"`
	Timeout   string          `json:"timeout,omitempty"`
	Nested    json.RawMessage `json:"nested,omitempty"` // response of the nested call
	NestedErr string          `json:"nested_err,omitempty"`
}

func (b *Backend) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+RunsPath, b.serveRuns)
	mux.HandleFunc("POST "+FaultsPath, b.serveFaults)
	mux.HandleFunc("/", b.serveWork)
	return mux
}

func (b *Backend) serveRuns(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	copied := make(map[string]int, len(b.runs))
	for key, count := range b.runs {
		copied[key] = count
	}
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(copied)
}

func (b *Backend) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// serveWork runs one request. Query parameters control it: work (added duration), size (bytes of the
// response), status, crash (any value), cut (bytes after which the response is aborted), call (path of a
// nested call through the callers' listener).
func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	faults, runs := b.beginRequest(r.Header.Get(transport.HeaderIdempotency))
	defer b.endRequest()
	query := r.URL.Query()
	if query.Has("crash") {
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	if faults.FailFast {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	work, _ := time.ParseDuration(query.Get("work"))
	if !wait.For(r.Context(), b.options.ServiceTime+faults.Slow+work) {
		return
	}
	read, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if size, err := strconv.ParseInt(query.Get("size"), 10, 64); err == nil {
		writeBytes(w, query.Get("cut"), min(size, maxResponseBytes))
		return
	}
	b.echo(w, r, read, runs)
}

func (b *Backend) beginRequest(key string) (Faults, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse++
	b.peak = max(b.peak, b.inUse)
	b.runs[key]++
	return b.faults, b.runs[key]
}

func (b *Backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse--
}

func (b *Backend) echo(w http.ResponseWriter, r *http.Request, read int64, runs int) {
	echo := Echo{
		Run: uuid.NewString(), Service: b.options.Service, Addr: b.addr, Method: r.Method,
		Path: r.URL.RequestURI(), Key: r.Header.Get(transport.HeaderIdempotency), BodyBytes: read,
		Chain: r.Header.Get(transport.HeaderChain), Timeout: r.Header.Get(transport.HeaderTimeout),
	}
	if echo.Key != "" {
		echo.KeyRuns = runs
	}
	if path := r.URL.Query().Get("call"); path != "" {
		echo.Nested, echo.NestedErr = b.callNested(r, path)
	}
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(echo)
}

// callNested calls another service as an upstream has to: it copies the chain and timeout headers of the request
// that it serves.
func (b *Backend) callNested(r *http.Request, path string) (json.RawMessage, string) {
	if b.options.Callers == "" || !strings.HasPrefix(path, "/") {
		return nil, "nested call: no callers' listener is configured or the path is not absolute"
	}
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+b.options.Callers+path, nil)
	if err != nil {
		return nil, err.Error()
	}
	request.Header.Set(transport.HeaderChain, r.Header.Get(transport.HeaderChain))
	request.Header.Set(transport.HeaderTimeout, r.Header.Get(transport.HeaderTimeout))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxNestedBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, fmt.Sprintf("status %d refusal %q %v", response.StatusCode, response.Header.Get(transport.HeaderRefusal), err)
	}
	return json.RawMessage(body), ""
}

// writeBytes streams size bytes, or aborts the response after cut bytes.
func writeBytes(w http.ResponseWriter, cut string, size int64) {
	limit, err := strconv.ParseInt(cut, 10, 64)
	if err != nil {
		limit = size
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	var chunk [chunkSize]byte
	for sent := int64(0); sent < min(limit, size); {
		n, err := w.Write(chunk[:min(chunkSize, min(limit, size)-sent)])
		if err != nil {
			return
		}
		sent += int64(n)
	}
	if limit < size {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
