package httpserver

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns are the open connections on which no request has been received. It is safe for concurrent use.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// observe is the server's ConnState hook.
func (u *unusedConns) observe(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[conn] = struct{}{}
	} else {
		delete(u.conns, conn)
	}
}

func (u *unusedConns) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close() // fails when it is closed already
	}
}
