package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath     = "/health"
	heartbeatEvery = 1500 * time.Millisecond
	ackTimeout     = time.Second
)

// run is a request that a back end has begun to work on.
type run struct {
	id      string
	backend string
	service string
	at      time.Time
	ended   time.Time // zero while the back end works, and when it broke off
}

// backend is a stand-in for the application beside a node: it works for the time in the query parameter work, multiplied by its slowness,
// and answers with a body that names the request.
type backend struct {
	id, service, zone string
	address, control  string
	slots             chan struct{}
	born              time.Time
	server            *http.Server
	record            *record
	onRun             func(run)
	// onCrash is called when a request with the query parameter crash has begun to run; nil if none comes.
	onCrash func(id string)
	stop    context.CancelFunc

	slowness atomic.Int64 // in per cent of the usual work time
	draining atomic.Bool
	mu       sync.Mutex // held while a status report is sent
	sequence int64
}

func startBackend(b *backend, slots int) error {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.slots, b.born = make(chan struct{}, slots), time.Now()
	b.slowness.Store(100)
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() {
		for {
			b.report(ctx)
			select {
			case <-time.After(heartbeatEvery):
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// crash ends the back end at once.
func (b *backend) crash() {
	b.stop()
	_ = b.server.Close()
}

// report sends a status report and returns whether it was acknowledged.
func (b *backend) report(ctx context.Context) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	state := "ready"
	if b.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.born.UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": cap(b.slots)},
		"status": map[string]any{"state": state, "sequence": b.sequence, "coldLeftMs": 0},
	})
	return b.call(ctx, http.MethodPut, body)
}

func (b *backend) call(ctx context.Context, method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.control+"/-/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", b.id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d,%d", len(b.slots), cap(b.slots), b.slowness.Load()))
	if r.URL.Path == healthPath {
		if b.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	header.Set("X-Attempt-Id", id)
	if status := b.reject(r, id); status != 0 {
		b.record.add("%s rejects %s with %d", b.id, id, status)
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() { <-b.slots }()
	b.execute(w, r, id)
}

// reject takes a slot, or returns the status for a request that does not run.
func (b *backend) reject(r *http.Request, id string) int {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		return http.StatusMisdirectedRequest
	}
	if id == "" {
		return http.StatusBadRequest
	}
	select {
	case b.slots <- struct{}{}:
		return 0
	default:
		return http.StatusServiceUnavailable
	}
}

func (b *backend) execute(w http.ResponseWriter, r *http.Request, id string) {
	done := run{id: id, backend: b.id, service: b.service, at: time.Now()}
	work, _ := time.ParseDuration(r.URL.Query().Get("work"))
	b.record.add("%s runs %s %s %s, X-Deadline-Ms %s, X-Tenant %q", b.id, id, r.Method, r.URL.RequestURI(), r.Header.Get("X-Deadline-Ms"),
		r.Header.Get("X-Tenant"))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Query().Has("crash") && b.onCrash != nil {
		b.onCrash(id)
		time.Sleep(work) // it goes on, also when its connection closes
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(work * time.Duration(b.slowness.Load()) / 100):
	case <-r.Context().Done():
		b.record.add("%s breaks off %s, its connection has closed", b.id, id)
		b.onRun(done)
		panic(http.ErrAbortHandler)
	}
	body := bodyOf(id, r.URL.Query().Get("size"))
	w.Header().Set("X-Response-Seal", seal(id, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	done.ended = time.Now()
	b.record.add("%s has answered %s with 200", b.id, id)
	b.onRun(done)
}

// bodyOf returns the body of the answer to a request, which differs from that of each other one.
func bodyOf(id, size string) []byte {
	line := []byte(id + "\n")
	bytesWanted, _ := strconv.Atoi(size)
	return bytes.Repeat(line, 1+bytesWanted/len(line))
}

func seal(id string, body []byte) string { return fmt.Sprintf("%s.%08x", id, crc32.ChecksumIEEE(body)) }
