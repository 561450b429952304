package inflight

import (
	"io"
	"sync"
)

// OnClose wraps body so that the first Close calls onClose after closing body. Later calls of Close don't call it again.
func OnClose(body io.ReadCloser, onClose func()) io.ReadCloser {
	return &closingBody{ReadCloser: body, onClose: onClose}
}

// closingBody calls onClose after its first Close.
type closingBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
