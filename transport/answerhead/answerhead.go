// Package answerhead checks the heads of HTTP answers, which net/http reads leniently: it accepts every status of three characters that
// parse as a number, every protocol version, and blanks in the names of fields.
package answerhead

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// ErrStatusLine and ErrFieldName are wrapped by the errors of answers that are no valid answers of HTTP/1.0 or HTTP/1.1. Such an answer says
// nothing of the request, and whatever follows it on its connection is no answer either.
var (
	ErrStatusLine = errors.New("invalid status line")
	ErrFieldName  = errors.New("invalid field name")
)

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// Check returns an error that wraps ErrStatusLine unless the head is that of a final answer with a status from 200 to 599, or of an interim
// answer (1xx) without a length, in HTTP/1.0 or HTTP/1.1. It returns one that wraps ErrFieldName if the name of a field is no token
// (RFC 9110, section 5.1). net/http itself refuses heads with two lengths that differ.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 || response.ProtoMinor > 1 {
		return fmt.Errorf("%w: protocol version %d.%d", ErrStatusLine, response.ProtoMajor, response.ProtoMinor)
	}
	switch status := response.StatusCode; {
	case status < minStatus || status > maxStatus:
		return fmt.Errorf("%w: status %d", ErrStatusLine, status)
	case status < minFinalStatus:
		return checkInterim(status, response.Header, len(response.TransferEncoding) > 0)
	}
	return checkNames(response.Header)
}

// CheckFinal is Check for an answer that is to be the final one. 101 is none, since no request asks for another protocol.
func CheckFinal(response *http.Response) error {
	if err := Check(response); err != nil {
		return err
	}
	if response.StatusCode < minFinalStatus {
		return fmt.Errorf("%w: interim status %d of a final answer", ErrStatusLine, response.StatusCode)
	}
	return nil
}

// maxInterim limits the interim answers before one final answer. http.Transport limits them by their length, but not when a trace sees
// them.
const maxInterim = 32

// Interim checks the interim answers to one request that http.Transport has read, which itself skips those with a length and reads their
// body as the next answer. Check is the Got1xxResponse of a trace.
type Interim struct{ count int }

// Check returns an error that wraps ErrStatusLine for an interim answer with a length, and for one too many, and one that wraps ErrFieldName
// for an interim answer with an invalid field name.
func (i *Interim) Check(status int, header textproto.MIMEHeader) error {
	if i.count++; i.count > maxInterim {
		return fmt.Errorf("%w: more than %d interim answers", ErrStatusLine, maxInterim)
	}
	return checkInterim(status, http.Header(header), false)
}

func checkInterim(status int, header http.Header, chunked bool) error {
	if _, ok := header["Content-Length"]; ok || chunked {
		return fmt.Errorf("%w: status %d with a length", ErrStatusLine, status)
	}
	return checkNames(header)
}

// checkNames also covers fields that frame a body: one whose name ends with a blank, such as "Transfer-Encoding ", frames none for net/http.
func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", ErrFieldName, name)
		}
	}
	return nil
}

// Transport is an http.RoundTripper that returns valid answers only, and closes the connection of any other.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	var interim Interim
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }, Got1xxResponse: interim.Check}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(response); err != nil {
		if conn != nil { // an answer without a body has returned it to the pool already
			_ = conn.Close()
		}
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
