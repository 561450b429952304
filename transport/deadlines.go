package transport

import (
	"net/http"
	"time"
)

// connectionGrace is the time that the connection of a caller may still be read and written after the deadline of a request, and
// after a late outcome.
const connectionGrace = time.Second

// SetConnDeadlines disconnects a caller that stops sending or reading soon after the deadline of its request.
func SetConnDeadlines(w http.ResponseWriter, deadline time.Time) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline.Add(connectionGrace))
	_ = controller.SetWriteDeadline(deadline.Add(connectionGrace))
}

// ExtendConnDeadlines lets the outcome of a request be written although its deadline has passed, as it has when the node was
// suspended. When the connection could no longer be read, the context of later requests on it has ended as well, so that it is
// closed after the answer.
func ExtendConnDeadlines(w http.ResponseWriter, deadline time.Time) {
	now := time.Now()
	if !now.After(deadline) {
		return
	}
	SetConnDeadlines(w, now)
	if now.Sub(deadline) >= connectionGrace {
		w.Header().Set("Connection", "close")
	}
}
