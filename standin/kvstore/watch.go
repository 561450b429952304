package kvstore

import (
	"context"
	"strings"

	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// watchBuffer is the number of events a watcher may lag behind before its watch breaks.
	watchBuffer = 1024
	// historyLimit is the number of changes kept for watches that begin at a past revision.
	historyLimit = 1024
)

type watcher struct {
	prefix string
	events chan store.Event
	held   []store.Event // held back while watches stall
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	if err := m.begin(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return nil, err
	}
	w := &watcher{prefix: prefix, events: make(chan store.Event, watchBuffer)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	m.watchers[w] = struct{}{}
	if after > 0 {
		m.replay(w, after)
	}
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.breakWatch(w)
	})
	return w.events, nil
}

func (m *Memory) replay(w *watcher, after int64) {
	if after < m.dropped {
		m.breakWatch(w)
		return
	}
	for _, event := range m.history {
		if event.Entry.Revision > after {
			m.deliver(w, event)
		}
	}
}

// record keeps the change in the history and passes it to the watches.
func (m *Memory) record(event store.Event) {
	if len(m.history) == historyLimit {
		m.dropped = m.history[0].Entry.Revision
		m.history = append(m.history[:0], m.history[1:]...)
	}
	m.history = append(m.history, event)
	for w := range m.watchers {
		m.deliver(w, event)
	}
}

func (m *Memory) deliver(w *watcher, event store.Event) {
	skipped := m.faults.SkipWatches > 0 && event.Entry.Revision%int64(m.faults.SkipWatches) == 0
	if m.faults.MuteWatches || skipped || !strings.HasPrefix(event.Entry.Key, w.prefix) {
		return
	}
	w.held = append(w.held, event)
	if !m.faults.StallWatches {
		m.release(w)
	}
}

// release passes on what was held back. A watcher that lags too far behind loses its watch.
func (m *Memory) release(w *watcher) {
	if _, ok := m.watchers[w]; !ok {
		return
	}
	for _, event := range w.held {
		select {
		case w.events <- event:
		default:
			m.breakWatch(w)
			return
		}
	}
	w.held = nil
}

func (m *Memory) breakWatch(w *watcher) {
	if _, ok := m.watchers[w]; ok {
		delete(m.watchers, w)
		close(w.events)
	}
}
