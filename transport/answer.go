package transport

import (
	"net/http"
	"strconv"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

// CloseDelimited reports whether the body of the response is delimited only by the end of the connection, so
// that a truncated body cannot be distinguished from a complete one.
func CloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// AnswerOf converts the HTTP response of an upstream or of a node to an answer.
func AnswerOf(response *http.Response) *caller.Answer {
	return &caller.Answer{
		Status: response.StatusCode,
		Header: EndToEnd(response.Header),
		Body:   response.Body,
		Length: response.ContentLength,
	}
}

// WriteAnswer streams an answer and closes its body. After an error the handler must call AbortAnswer, so that the receiver never
// takes a truncated body as complete.
func WriteAnswer(w http.ResponseWriter, answer *caller.Answer) error {
	defer answer.Body.Close()
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	return Stream(w, answer.Body)
}

// AbortAnswer ends the connection of an answer that is not complete. It panics with http.ErrAbortHandler and does not return. The end of
// the connection ends an answer without a length in HTTP/1.0, which has no chunks, so that the connection is reset there.
func AbortAnswer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = sockopt.Reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}
