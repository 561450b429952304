package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a requester.
type request struct {
	id       string
	method   string
	host     string
	uri      string
	deadline time.Duration // X-Deadline-Ms
	key      string        // of a tenant, "" for none
}

// answer is what a requester gets for a request.
type answer struct {
	status int
	whole  bool // the body is the back end's whole body, with its seal
	closes bool // it says that the connection closes after it
	at     time.Time
	err    error // the connection has ended without a complete answer
}

// connection is a kept connection of a requester to the node on its machine.
type connection struct {
	net.Conn
	reader *bufio.Reader
	record *record
	name   string
}

func (m *machine) connect(name string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", m.address(outboundPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn, bufio.NewReader(conn), m.fleet.record, name}, nil
}

// send writes the requests one after the other, without waiting for answers.
func (c *connection) send(requests ...request) error {
	for _, r := range requests {
		c.record.add("%s sends %s %s %s, X-Deadline-Ms %d", c.name, r.id, r.method, r.uri, r.deadline.Milliseconds())
		head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.uri, r.host, r.id, r.deadline.Milliseconds())
		if r.key != "" {
			head += "Authorization: Bearer " + r.key + "\r\n"
		}
		_, err := io.WriteString(c, head+"\r\n")
		if err != nil {
			return err
		}
	}
	return nil
}

// receive reads the answer to a request, until the requester's time limit has passed.
func (c *connection) receive(r request, sent time.Time) answer {
	_ = c.SetReadDeadline(sent.Add(r.deadline))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		c.record.add("%s gets no answer to %s: %v", c.name, r.id, err)
		return answer{at: time.Now(), err: err}
	}
	body, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, closes: response.Close, at: time.Now(), err: err}
	got.whole = err == nil && response.Header.Get("X-Attempt-Id") == r.id && response.Header.Get("X-Response-Seal") == seal(r.id, body)
	c.record.add("%s gets %d for %s, %d bytes, whole %v, Connection: close %v, error %v",
		c.name, response.StatusCode, r.id, len(body), got.whole, got.closes, err)
	return got
}
