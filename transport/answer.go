package transport

import (
	"net/http"
	"strconv"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Unframed reports whether the end of the response's body is only marked by the end of the
// connection, so that a body that broke off cannot be told from a whole one.
func Unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// AnswerOf translates a response of an upstream or of a node.
func AnswerOf(response *http.Response) *caller.Answer {
	return &caller.Answer{
		Status: response.StatusCode,
		Header: EndToEnd(response.Header),
		Body:   response.Body,
		Length: response.ContentLength,
	}
}

// WriteAnswer streams an answer and closes its body. After an error the handler must abort the
// connection by panic(http.ErrAbortHandler), so that the receiver never takes a part for the whole.
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
