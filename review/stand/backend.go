package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval of a backend's status reports, the heartbeatMs of the settings.
const heartbeat = 1500 * time.Millisecond

// run is a request that a backend has begun to work on.
type run struct {
	at       time.Time
	attempt  string // X-Attempt-Id
	caller   string // X-Caller-Service
	path     string
	instance string
}

// runs are the requests that all backends have run.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// snapshot returns the runs so far, in order.
func (r *runs) snapshot() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// backend is one start of an application backend. It serves, and sends status reports until it leaves.
type backend struct {
	id, service, address, control string
	slots                         int
	born                          int64
	record                        *recorder
	runs                          *runs
	crashes                       bool   // a request whose path has /crash ends the backend
	onCrash                       func() // called after such an end

	server   *http.Server
	sequence atomic.Int64
	reported atomic.Int64 // sequence of the last report whose answer has come
	busy     atomic.Int64
	leaving  atomic.Bool
	silent   atomic.Bool // sends no status reports any more
	ended    atomic.Bool
	stop     chan struct{}
}

// start binds the address and begins to report.
func (b *backend) start() error {
	b.stop = make(chan struct{})
	if b.born == 0 {
		b.born = time.Now().UnixMilli()
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", b.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(listener) }()
	b.record.logf("backend %s of %s starts, born %d", b.id, b.service, b.born)
	go func() {
		b.report("ready")
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-b.stop:
				return
			case <-ticker.C:
				if !b.silent.Load() {
					b.report(b.state())
					b.reported.Store(b.sequence.Load())
				}
			}
		}
	}()
	return nil
}

func (b *backend) state() string {
	if b.leaving.Load() {
		return "draining"
	}
	return "ready"
}

// end ends the process of the backend at once: its listener and all connections close, and it sends nothing more.
func (b *backend) end() {
	if b.ended.CompareAndSwap(false, true) {
		close(b.stop)
		_ = b.server.Close()
		b.record.logf("backend %s ends", b.id)
	}
}

// body returns the body of a status report with the next sequence number.
func (b *backend) body(state string) []byte {
	body, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": "a", "slots": b.slots},
		"status": map[string]any{"state": state, "sequence": b.sequence.Add(1), "coldLeftMs": 0},
	})
	return body
}

// report sends a status report and returns whether it was acknowledged.
func (b *backend) report(state string) bool { return b.send(http.MethodPut, state, b.body(state)) }

// send makes one call to the control address of the machine.
func (b *backend) send(method, what string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.control+"/-/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.record.logf("backend %s: %s %s is not acknowledged: %v", b.id, method, what, err)
		return false
	}
	_ = response.Body.Close()
	if what != "ready" || b.leaving.Load() {
		b.record.logf("backend %s: %s %s is acknowledged with %d", b.id, method, what, response.StatusCode)
	}
	return response.StatusCode/100 == 2
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", b.id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", b.busy.Load(), b.slots))
	if r.URL.Path == "/health" {
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	received, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		return
	case attempt == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case b.busy.Add(1) > int64(b.slots):
		b.busy.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.busy.Add(-1)
	b.runs.add(run{at: time.Now(), attempt: attempt, caller: r.Header.Get("X-Caller-Service"), path: r.URL.RequestURI(), instance: b.id})
	b.record.logf("backend %s runs %s %s %s (%d bytes) for caller service %q", b.id, attempt, r.Method, r.URL.RequestURI(), len(received), r.Header.Get("X-Caller-Service"))
	if b.crashes && r.URL.Query().Has("crash") {
		time.Sleep(20 * time.Millisecond)
		b.end()
		go b.onCrash()
		panic(http.ErrAbortHandler)
	}
	work, _ := strconv.Atoi(r.URL.Query().Get("work"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	text := attempt + " " + r.URL.RequestURI()
	w.Header().Set("X-Response-Seal", fmt.Sprintf("%s.%s.%d", b.id, attempt, len(text)))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
