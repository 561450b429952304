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
	"strings"
	"sync"
	"time"
)

// queuePerSlot is the number of requests that may wait in a back end for each slot.
const queuePerSlot = 2

// backend is a sound application back end of the users' platform.
type backend struct {
	machine *machine
	cancel  context.CancelFunc

	mu       sync.Mutex
	id       string
	born     time.Time
	boots    int
	server   *http.Server  // nil while the back end is down
	slots    chan struct{} // of the present boot
	stopped  bool
	waiting  int
	sequence int64
	leaving  bool     // the status check says so
	held     [][]byte // reports that are on their way while holding is set
	holding  bool
	silent   bool                 // no further reports are sent
	arrivals map[string]time.Time // by attempt ID, when the back end began to work on it
}

// crashMark in the body of a request crashes each back end that begins to run it.
const crashMark = "CRASH"

// crashTime is the time from a crash to the next start.
const crashTime = 2 * time.Second

func startBackend(m *machine) (*backend, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &backend{machine: m, cancel: cancel, arrivals: make(map[string]time.Time)}
	if err := b.boot(); err != nil {
		cancel()
		return nil, err
	}
	go b.report(ctx)
	return b, nil
}

// boot starts the back end with a new ID.
func (b *backend) boot() error {
	listener, err := net.Listen("tcp", b.machine.address(appPort))
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boots++
	b.id, b.born, b.sequence = fmt.Sprintf("i-%s-%d", b.machine.name, b.boots), time.Now(), 0
	b.slots = make(chan struct{}, slots)
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	b.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the back end with all its connections. It is back after crashTime.
func (b *backend) crash() {
	b.mu.Lock()
	server, id := b.server, b.id
	b.server = nil
	b.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	b.machine.fleet.rec.printf("%s has crashed", id)
	time.AfterFunc(crashTime, func() {
		b.mu.Lock()
		stopped := b.stopped
		b.mu.Unlock()
		if stopped {
			return
		}
		if err := b.boot(); err != nil {
			b.machine.fleet.rec.printf("%s: %v", id, err)
		}
	})
}

func (b *backend) stop() {
	b.cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.server != nil {
		_ = b.server.Close()
	}
}

// name returns the ID of the present boot.
func (b *backend) name() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id
}

// report sends status reports to the control address of the machine.
func (b *backend) report(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if body, ok := b.nextReport(); ok {
			b.call(ctx, http.MethodPut, body)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// nextReport returns the next report. ok is false when it is held back, or when there are no more.
func (b *backend) nextReport() (body []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent || b.server == nil {
		return nil, false
	}
	b.sequence++
	body, _ = json.Marshal(map[string]any{
		"address": b.machine.address(appPort), "born": b.born.UnixMilli(),
		"info":   map[string]any{"service": b.machine.service, "version": "v1", "zone": b.machine.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "sequence": b.sequence, "coldLeftMs": 0},
	})
	if b.holding {
		b.held = append(b.held, body)
		b.machine.fleet.rec.printf("%s sends report %d, which is delayed", b.id, b.sequence)
		return nil, false
	}
	return body, true
}

// call makes a call to the control address of the machine and reports whether it was acknowledged.
func (b *backend) call(ctx context.Context, method string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.machine.address(controlPort)+"/-/instances/"+b.name(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	if method == http.MethodPut {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// hold delays the reports that are sent from now on until deliverHeld is called.
func (b *backend) hold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holding = true
}

// deliverHeld lets the delayed reports arrive, in their order.
func (b *backend) deliverHeld(ctx context.Context) {
	b.mu.Lock()
	held := b.held
	b.held = nil
	b.mu.Unlock()
	for _, body := range held {
		b.machine.fleet.rec.printf("%s: a delayed report arrives, acknowledged %v: %s", b.name(), b.call(ctx, http.MethodPut, body), body)
	}
}

// withdraw deregisters the back end, which sends no further report and serves on. It reports whether the call was acknowledged.
func (b *backend) withdraw(ctx context.Context) bool {
	b.mu.Lock()
	b.silent, b.leaving = true, true
	b.mu.Unlock()
	return b.call(ctx, http.MethodDelete, nil)
}

// beganAfter returns the attempts that began after the time.
func (b *backend) beganAfter(at time.Time) (ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, began := range b.arrivals {
		if began.After(at) {
			ids = append(ids, id)
		}
	}
	return ids
}

// began returns when the back end began to work on the attempt.
func (b *backend) began(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.arrivals[id]
	return at, ok
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	b.mu.Lock()
	leaving, instance, inUse := b.leaving, b.id, b.slots
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", len(inUse), b.waiting, slots))
	b.mu.Unlock()
	header.Set("X-Instance-Id", instance)
	if r.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	header.Set("X-Attempt-Id", id)
	received, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if status := b.admit(r, id, instance, inUse); status != 0 {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() { <-inUse }()
	b.mu.Lock()
	b.arrivals[id] = time.Now()
	b.mu.Unlock()
	b.machine.fleet.rec.printf("%s runs %s", instance, id)
	if bytes.Contains(received, []byte(crashMark)) {
		go b.crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	work, _ := strconv.Atoi(r.URL.Query().Get("work"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	line := id + " " + r.URL.RequestURI() + "\n"
	body := strings.Repeat(line, 1+size/len(line))
	header.Set("X-Response-Seal", "s."+id)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// admit waits for a slot. It returns the status of an answer to a request that does not run, 0 for one that does.
func (b *backend) admit(r *http.Request, id, instance string, inUse chan struct{}) int {
	left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != instance:
		return http.StatusMisdirectedRequest
	case id == "" || err != nil:
		return http.StatusBadRequest
	}
	b.mu.Lock()
	if b.waiting >= queuePerSlot*slots {
		b.mu.Unlock()
		return http.StatusServiceUnavailable
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.waiting--
	}()
	timer := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer timer.Stop()
	select {
	case inUse <- struct{}{}:
		return 0
	case <-timer.C:
	case <-r.Context().Done():
	}
	return http.StatusServiceUnavailable
}
