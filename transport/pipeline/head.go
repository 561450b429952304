package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

var (
	headEnd      = []byte("\r\n\r\n")
	errMalformed = errors.New("the head of the request is malformed")
)

// framing tells where a request ends on its connection.
type framing struct {
	chunked bool  // the body is in chunks
	known   bool  // false when the end of the request cannot be told from its head
	body    int64 // bytes of the body, unless it is in chunks
	ahead   bool  // the request has no body, and its head has no field that concerns the connection
}

// frame reads the fields of a complete head that tell where the request ends. The HTTP server parses the head by itself; a
// head that the two could understand differently has no known end.
func frame(head []byte) framing {
	line, rest, ok := cutLine(head)
	method, target, _ := bytes.Cut(line, []byte(" "))
	if !ok || len(line) == 0 || !bytes.HasSuffix(target, []byte(" HTTP/1.1")) {
		return framing{}
	}
	f := framing{known: true, ahead: string(method) == http.MethodGet || string(method) == http.MethodHead}
	lengths, encodings, hosts := 0, 0, 0
	for {
		if line, rest, ok = cutLine(rest); !ok {
			return framing{}
		}
		if len(line) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch value = bytes.TrimSpace(value); {
		case is(name, "Host"):
			hosts++
		case is(name, "Content-Length"):
			length, err := strconv.ParseUint(string(value), 10, 62)
			if lengths++; err != nil || lengths > 1 {
				return framing{}
			}
			f.body, f.ahead = int64(length), false
		case is(name, "Transfer-Encoding"):
			if encodings++; !is(value, "chunked") || encodings > 1 {
				return framing{}
			}
			f.chunked, f.ahead = true, false
		case is(name, "Upgrade"):
			return framing{}
		case is(name, "Expect"), is(name, "Trailer"):
			f.ahead = false
		case is(name, "Connection"):
			f.ahead = f.ahead && is(value, "keep-alive")
		}
	}
	if lengths > 0 && f.chunked {
		return framing{}
	}
	f.ahead = f.ahead && hosts == 1
	return f
}

// cutLine returns the first line, without its end, and what follows it. ok is false unless the line ends with CR LF.
func cutLine(data []byte) (line, rest []byte, ok bool) {
	line, rest, found := bytes.Cut(data, []byte("\n"))
	if !found || !bytes.HasSuffix(line, []byte("\r")) {
		return nil, nil, false
	}
	return line[:len(line)-1], rest, true
}

func is(field []byte, name string) bool {
	return len(field) == len(name) && bytes.EqualFold(field, []byte(name))
}

// parse returns the request with this head, which has no body. It rejects what the HTTP server would reject.
func parse(head []byte) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil {
		return nil, err
	}
	if !httpguts.ValidHostHeader(r.Host) {
		return nil, errMalformed
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, errMalformed
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil, errMalformed
			}
		}
	}
	return r, nil
}
