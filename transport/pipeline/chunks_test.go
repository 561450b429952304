package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a body in chunks whose end is found elsewhere than the HTTP server finds it, so that bytes of it run as a request.
func TestEndOfChunksIsThatOfTheServer(t *testing.T) {
	const behind = "GET /behind HTTP/1.1\r\n\r\n"
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		var body strings.Builder
		for range random.IntN(4) {
			size := 1 + random.IntN(40)
			format := []string{"%x\r\n%s\r\n", "%X\r\n%s\r\n", "%04x\r\n%s\r\n"}[random.IntN(3)]
			fmt.Fprintf(&body, format, size, strings.Repeat("\r\n0", size)[:size])
		}
		body.WriteString("0\r\n\r\n")
		reader := bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body.String() + behind))
		request, err := http.ReadRequest(reader)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, request.Body)
		assert.NilError(t, err)
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), behind)
		scanner, data, ended := &chunkScanner{}, []byte(body.String()+behind), 0
		for scanner.state != chunksEnded {
			piece := data[ended:min(len(data), ended+1+random.IntN(7))]
			n, ok := scanner.scan(piece)
			assert.Assert(t, ok, "%q", data)
			ended += n
		}
		assert.Equal(t, string(data[ended:]), behind)
	}
}

// Guards against a body that parsers may understand differently and whose end is taken for known.
func TestOddChunksHaveNoKnownEnd(t *testing.T) {
	for _, body := range []string{
		"\r\n", "g\r\n", " 5\r\nhello\r\n", "5 \r\nhello\r\n", "5;x=y\r\nhello\r\n", "5\nhello\n", "5\r\nhello0\r\n", "5\r\nhello\n0\r\n\r\n",
		"0\r\nTrailer: x\r\n\r\n", "0\n\n", "-5\r\n", "0x5\r\nhello\r\n", "1000000000000000\r\n", strings.Repeat("0", 20) + "5\r\nhello\r\n", "5\r\r\n",
	} {
		_, ok := (&chunkScanner{}).scan([]byte(body))
		assert.Assert(t, !ok, "%q", body)
	}
	for _, field := range []string{"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked"} {
		f := frame([]byte("POST / HTTP/1.1\r\nHost: a\r\n" + field + "\r\n\r\n"))
		assert.Assert(t, !f.known, field)
	}
}

// FuzzChunks guards against input that the scanner and the HTTP server understand differently.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\nGET"))
	f.Fuzz(func(t *testing.T, data []byte) {
		scanner := &chunkScanner{}
		n, ok := scanner.scan(data)
		if !ok || scanner.state != chunksEnded {
			return
		}
		reader := bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(data)))
		request, err := http.ReadRequest(reader)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, request.Body)
		assert.NilError(t, err, "%q", data)
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), string(data[n:]))
	})
}
