package upstreamconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport/answerhead"
)

// exchange is one request and its answer on a connection.
type exchange struct {
	conn    *pooledConn
	request *http.Request
	body    *caller.Body // of the request, nil for a health check
	wantID  string       // ID that the answer must echo; "" for a request without one
	dialect *caller.Dialect

	sent         atomic.Bool // at least one byte of the request was handed to the connection
	received     bool        // at least one byte was received
	skipped      bool        // an answer that may belong to another request was skipped
	writeDone    chan error  // gets the result of a concurrent write and is closed; nil when the request is written first
	fullyWritten bool        // the request was written completely
	stopWatch    func() bool // stops closing the connection at the end of the context; false when that has closed it
}

// Write implements io.Writer. It writes the request to the connection.
func (x *exchange) Write(p []byte) (int, error) {
	x.sent.Store(true)
	return x.conn.Write(p)
}

// run writes the request, whose body has the given length in bytes, and returns the answer to it. After an error the
// connection is closed. It is also closed when ctx ends before the body of the answer is closed, so that the upstream can
// stop working on the request.
func (x *exchange) run(ctx context.Context, length int64) (*http.Response, error) {
	x.stopWatch = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	response, err := x.roundTrip(length)
	if err != nil {
		countFault(err)
		x.abort()
		return nil, err
	}
	return response, nil
}

func (x *exchange) roundTrip(length int64) (*http.Response, error) {
	if length <= maxBodyWrittenFirst {
		if err := x.write(); err != nil {
			return nil, err
		}
		x.fullyWritten = true
	} else {
		x.writeDone = make(chan error, 1)
		go func() {
			err := x.write()
			if x.bodyRefused() {
				_ = x.conn.Close() // the upstream must not wait for the rest
			}
			x.writeDone <- err
			close(x.writeDone)
		}()
	}
	return x.readAnswer()
}

// bodyRefused reports whether the body of the request ended early since the request is refused.
func (x *exchange) bodyRefused() bool {
	var refusal *caller.Refusal
	return x.body != nil && errors.As(x.body.Err(), &refusal)
}

func (x *exchange) write() error {
	buffered := bufio.NewWriter(x)
	if err := x.request.Write(buffered); err != nil {
		return err
	}
	return buffered.Flush()
}

// readAnswer reads answers until it finds the answer to the request.
func (x *exchange) readAnswer() (*http.Response, error) {
	for range maxSkippedAnswers + 1 {
		response, err := x.readHead()
		if err != nil {
			return nil, err
		}
		reason, skip := x.skipReason(response)
		if !skip {
			return response, nil
		}
		reason.counter().Inc()
		x.skipped = true
		if err := skipBody(response); err != nil {
			return nil, err
		}
	}
	return nil, noMatchingAnswer
}

// skipBody reads the body of an answer to another request to its end, where the next answer begins.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBody+1))
	if err == nil && n > maxSkippedBody {
		return skippedBodyTooLong
	}
	return err
}

// readHead reads the head of the next final answer. The limit of a head covers the interim answers (1xx) before it.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.head.expectHead()
	defer x.conn.head.endHead()
	for {
		if _, err := x.conn.reader.Peek(1); err != nil {
			return nil, err
		}
		x.received = true
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, headError(err)
		}
		if err := answerhead.Check(response); err != nil {
			return nil, invalidHeadError(err)
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, protocolSwitched
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// skipReason reports whether the answer is skipped because it may belong to another request. A refusal without a request
// ID is accepted only as the first answer on a new connection, since an upstream may reject a request before it has read
// its ID. On any other connection it may be an earlier refusal that the upstream wrote once more, or that of a health
// check, while the request runs.
func (x *exchange) skipReason(response *http.Response) (reason skipReason, skip bool) {
	switch got := response.Header.Get(x.dialect.RequestID); {
	case got == x.wantID:
		return "", false
	case got != "":
		return otherRequestID, true
	case !x.statesNotRun(response):
		return noRequestID, true
	case x.conn.reused || x.skipped:
		return unprovenRefusal, true
	}
	return "", false
}

// statesNotRun reports whether the answer states that its request was not run.
func (x *exchange) statesNotRun(response *http.Response) bool {
	return response.Header.Get(x.dialect.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

// mayBeStale reports, after a failure, whether the upstream may have closed the connection before the request arrived,
// which was sent at start.
func (x *exchange) mayBeStale(start time.Time) bool {
	return x.conn.reused && !x.received && time.Since(start) < staleConnWindow
}

// abort ends the exchange and closes the connection.
func (x *exchange) abort() {
	x.stopWatch()
	_ = x.conn.Close()
}

// finish ends the exchange after the whole answer was read, and reports whether the connection can be reused.
func (x *exchange) finish(response *http.Response) bool {
	if x.writeDone != nil {
		select {
		case err := <-x.writeDone:
			x.fullyWritten = err == nil
		default: // the upstream has answered before the request was written completely
		}
	}
	// stopWatch returns false when the end of ctx has closed the connection.
	return x.stopWatch() && x.fullyWritten && x.conn.updateExpiry(time.Now(), response)
}

// answerBody is the body of an answer. One goroutine reads and closes it.
type answerBody struct {
	exchange   *exchange
	response   *http.Response
	returnConn func() // returns the connection to the pool
	ended      bool
}

// Read implements io.Reader. Any error but io.EOF means that the answer is incomplete.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err != nil && !b.ended {
		b.ended = true
		b.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (b *answerBody) Close() error {
	if !b.ended {
		b.ended = true
		b.end(b.response.ContentLength == 0)
	}
	return nil
}

func (b *answerBody) end(complete bool) {
	if complete && b.exchange.finish(b.response) {
		b.returnConn()
		return
	}
	b.exchange.abort()
}
