package kvhttp

import (
	"encoding/json"
	"errors"
	"io"
)

// maxWatchMessage bounds one message of a watch, in bytes.
const maxWatchMessage = 16 << 20

var errMessageTooLong = errors.New("the message of the watch is too long")

// messageDecoder decodes the messages of a watch, each of at most maxWatchMessage.
type messageDecoder struct {
	source  io.Reader
	left    int // bytes that may still be read for the current message
	decoder *json.Decoder
}

func newMessageDecoder(source io.Reader) *messageDecoder {
	d := &messageDecoder{source: source}
	d.decoder = json.NewDecoder(d)
	return d
}

// Decode decodes the next message into out.
func (d *messageDecoder) Decode(out any) error {
	d.left = maxWatchMessage
	return d.decoder.Decode(out)
}

// Read implements io.Reader for the decoder.
func (d *messageDecoder) Read(p []byte) (int, error) {
	if d.left <= 0 {
		return 0, errMessageTooLong
	}
	n, err := d.source.Read(p[:min(len(p), d.left)])
	d.left -= n
	return n, err
}
