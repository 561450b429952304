package transport

import (
	"net/http"
	"strconv"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// AnswerOf translates a response of an upstream or of a node.
func AnswerOf(response *http.Response) *caller.Answer {
	return &caller.Answer{
		Status: response.StatusCode,
		Header: EndToEnd(response.Header),
		Body:   response.Body,
		Length: response.ContentLength,
	}
}

// WriteAnswer streams an answer and closes its body. When the body breaks off it aborts the
// connection, so that the receiver never takes a part for the whole.
func WriteAnswer(w http.ResponseWriter, answer *caller.Answer) {
	defer answer.Body.Close()
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	if err := Stream(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
