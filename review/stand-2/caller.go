package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "hulo84.example"

// outcome is what a caller has seen of one attempt.
type outcome struct {
	status int   // 0 without an answer
	err    error // why there is none, or why it is not complete
}

// attempt is one request of a caller on a connection of its own.
type attempt struct {
	id      string
	method  string
	target  string // path and query
	body    string
	chunked bool // the body is sent in chunks
	limit   time.Duration
	leaveAt time.Duration // the caller closes its connection then; 0 for one that waits for its answer
}

// send sends the attempt to the machine and waits for its end. It returns the time at which the caller has left, zero if it has not.
func (a attempt) send(m *machine) (o outcome, left time.Time) {
	conn, err := m.dial(time.Second)
	if err != nil {
		return outcome{err: err}, time.Time{}
	}
	defer conn.Close()
	if err := a.write(conn); err != nil {
		return outcome{err: err}, time.Time{}
	}
	wait := a.limit + time.Second
	if a.leaveAt > 0 {
		wait = a.leaveAt
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	o = readAnswer(bufio.NewReader(conn), a.method)
	if a.leaveAt > 0 && o.status == 0 {
		_ = conn.Close()
		return o, time.Now()
	}
	return o, time.Time{}
}

// write sends the request. The connection is kept open afterwards.
func (a attempt) write(conn io.Writer) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.target, host, a.id, a.limit.Milliseconds())
	body := a.body
	switch {
	case a.chunked:
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(a.body), a.body)
	case a.body != "":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	_, err := io.WriteString(conn, head+"\r\n"+body)
	return err
}

// readAnswer reads one whole answer.
func readAnswer(reader *bufio.Reader, method string) outcome {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return outcome{status: response.StatusCode, err: err}
	}
	return outcome{status: response.StatusCode}
}

// route is a route of the manifest.
type route struct {
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
}

// manifest returns a manifest with the routes, and a service for each of them.
func manifest(version int, routes map[string]route) map[string]any {
	services := make(map[string]any)
	for _, r := range routes {
		services[r.Service] = map[string]any{"healthPath": "/health", "maxConnections": 220, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
