package main

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	linkDelay  = time.Millisecond // one way, to callers
	linkBytes  = 20e6 / 8         // a second, from the node to the caller
	linkWindow = 4 << 10          // bytes read from the node at a time
)

// link is the caller's end of a connection with a delay in both directions and a bandwidth in one. It stands for a proxy between the
// caller and the node.
type link struct {
	*io.PipeReader
	node net.Conn
	sent chan delayed
}

// delayed is what the caller has written, and when it reaches the node.
type delayed struct {
	at   time.Time
	data []byte
}

// dialLink opens a connection to the address with a small window.
func dialLink(addr string) (*link, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
		})
		return errors.Join(err, failure)
	}}
	node, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	l := &link{PipeReader: reader, node: node, sent: make(chan delayed, 64)}
	go l.passToNode()
	go l.passToCaller(writer)
	return l, nil
}

// Write sends data to the node. It is not called after Close.
func (l *link) Write(data []byte) (int, error) {
	l.sent <- delayed{time.Now().Add(linkDelay), append([]byte(nil), data...)}
	return len(data), nil
}

// Close closes the connection, as a proxy does whose caller has closed.
func (l *link) Close() error {
	close(l.sent)
	_ = l.PipeReader.Close()
	return l.node.Close()
}

func (l *link) passToNode() {
	for d := range l.sent {
		time.Sleep(time.Until(d.at))
		_, _ = l.node.Write(d.data) // an error shows when the answer is read
	}
}

// passToCaller passes on what the node sends, and the end of the connection behind it.
func (l *link) passToCaller(caller *io.PipeWriter) {
	type part struct {
		at   time.Time
		data []byte
		err  error
	}
	parts := make(chan part, 64)
	go func() {
		for p := range parts {
			time.Sleep(time.Until(p.at))
			if p.err != nil {
				_ = caller.CloseWithError(p.err)
				return
			}
			if _, err := caller.Write(p.data); err != nil {
				return // the caller has closed
			}
		}
	}()
	defer close(parts)
	for {
		buffer := make([]byte, linkWindow)
		n, err := l.node.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(float64(n) / linkBytes * float64(time.Second)))
			parts <- part{at: time.Now().Add(linkDelay), data: buffer[:n]}
		}
		if err != nil {
			parts <- part{at: time.Now().Add(linkDelay), err: err}
			return
		}
	}
}
