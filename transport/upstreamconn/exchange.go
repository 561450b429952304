package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// exchange is one request with its answer on a connection.
type exchange struct {
	conn    *conn
	out     *http.Request
	want    string // ID that the answer must echo; "" for a request without one
	dialect *caller.Dialect

	sent    atomic.Bool // some byte of the request was handed to the connection
	heard   bool        // some byte came back
	written chan error  // closed after the write's error, nil while the request is written ahead
	whole   bool        // the request was written to its end
	cancel  func() bool // ends the watch over the context
}

// Write implements io.Writer for the request's bytes.
func (x *exchange) Write(p []byte) (int, error) {
	x.sent.Store(true)
	return x.conn.Write(p)
}

// run writes the request and returns the answer that belongs to it. After an error the connection is closed. The
// connection is closed too when ctx ends before the body of the answer is closed, which stops the work at the upstream.
func (x *exchange) run(ctx context.Context, length int64) (*http.Response, error) {
	x.cancel = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	response, err := x.converse(length)
	if err != nil {
		x.drop()
		return nil, err
	}
	return response, nil
}

func (x *exchange) converse(length int64) (*http.Response, error) {
	if length <= writeAhead {
		if err := x.write(); err != nil {
			return nil, err
		}
		x.whole = true
	} else {
		x.written = make(chan error, 1)
		go func() {
			x.written <- x.write()
			close(x.written)
		}()
	}
	return x.answer()
}

func (x *exchange) write() error {
	buffered := bufio.NewWriter(x)
	if err := x.out.Write(buffered); err != nil {
		return err
	}
	return buffered.Flush()
}

// answer reads answers until one belongs to the request.
func (x *exchange) answer() (*http.Response, error) {
	for range maxSkipped + 1 {
		if _, err := x.conn.reader.Peek(1); err != nil {
			return nil, err
		}
		x.heard = true
		response, err := http.ReadResponse(x.conn.reader, x.out)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitching
		case response.StatusCode < http.StatusOK:
			continue
		case x.own(response):
			return response, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBody)); err != nil {
			return nil, err
		}
	}
	return nil, errNoAnswer
}

// own reports whether the answer belongs to the request. One without an ID counts only when it says that the request was
// not run, since upstreams may reject a request before they have read its ID.
func (x *exchange) own(response *http.Response) bool {
	got := response.Header.Get(x.dialect.RequestID)
	if got == x.want {
		return true
	}
	rejected := response.Header.Get(x.dialect.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
	return got == "" && rejected
}

// drop ends the exchange and closes the connection.
func (x *exchange) drop() {
	x.cancel()
	_ = x.conn.Close()
}

// finish ends the exchange after the whole answer was read, and reports whether the connection can be used again.
func (x *exchange) finish(response *http.Response) bool {
	if x.written != nil {
		select {
		case err := <-x.written:
			x.whole = err == nil
		default: // the upstream has answered without reading the request to its end
		}
	}
	// The end of ctx may have closed the connection already.
	return x.cancel() && x.whole && x.conn.answered(time.Now(), response)
}

// answerBody is the body of an answer. One goroutine reads and closes it.
type answerBody struct {
	exchange *exchange
	response *http.Response
	release  func() // puts the connection back
	done     bool
}

// Read implements io.Reader. Any error but io.EOF means that the answer is incomplete.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err != nil && !b.done {
		b.done = true
		b.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the answer was read to its end.
func (b *answerBody) Close() error {
	if !b.done {
		b.done = true
		b.end(b.response.ContentLength == 0)
	}
	return nil
}

func (b *answerBody) end(complete bool) {
	if complete && b.exchange.finish(b.response) {
		b.release()
		return
	}
	b.exchange.drop()
}
