package node

import (
	"io"
	"sync"
)

// releasingBody gives a slot back once when the body is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
