package inflight

import (
	"io"
	"sync"
)

// OnClose returns the body with a function that is called once, after the body is closed for the first time.
func OnClose(body io.ReadCloser, closed func()) io.ReadCloser {
	return &closingBody{ReadCloser: body, closed: closed}
}

type closingBody struct {
	io.ReadCloser
	closed func()
	once   sync.Once
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.closed)
	return err
}
