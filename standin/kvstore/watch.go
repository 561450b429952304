package kvstore

import (
	"context"
	"strings"

	"github.com/magnoliawharf/magnoliawharf/store"
)

const (
	// watchBuffer is the number of undelivered events at which a watch is closed.
	watchBuffer = 1024
	// historyLimit is the number of changes kept for watches that begin at a past revision.
	historyLimit = 1024
)

type watcher struct {
	prefix  string
	events  chan store.Event
	pending []store.Event // not delivered yet while a fault delays watch events
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	if err := m.beginCall(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return nil, err
	}
	w := &watcher{prefix: prefix, events: make(chan store.Event, watchBuffer)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	m.watchers[w] = struct{}{}
	if after > 0 {
		m.replay(w, after)
	}
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.closeWatch(w)
	})
	return w.events, nil
}

// replay delivers the changes after the revision, or closes the watch when some of them are no longer in the history or the
// store does not have the revision.
func (m *Memory) replay(w *watcher, after int64) {
	if after < m.compacted || after > m.revision {
		m.closeWatch(w)
		return
	}
	for _, event := range m.history {
		if event.Entry.Revision > after {
			m.deliver(w, event)
		}
	}
}

// publish appends the change to the history and delivers it to the watches.
func (m *Memory) publish(event store.Event) {
	if len(m.history) == historyLimit {
		m.compacted = m.history[0].Entry.Revision
		m.history = append(m.history[:0], m.history[1:]...)
	}
	m.history = append(m.history, event)
	for w := range m.watchers {
		m.deliver(w, event)
	}
}

func (m *Memory) deliver(w *watcher, event store.Event) {
	skipped := m.faults.SkipEvents > 0 && event.Entry.Revision%int64(m.faults.SkipEvents) == 0
	if m.faults.DropEvents || skipped || !strings.HasPrefix(event.Entry.Key, w.prefix) {
		return
	}
	w.pending = append(w.pending, event)
	if !m.faults.HoldEvents {
		m.flush(w)
	}
}

// flush delivers the pending events. It closes the watch when the buffer of its channel is full.
func (m *Memory) flush(w *watcher) {
	if _, ok := m.watchers[w]; !ok {
		return
	}
	for _, event := range w.pending {
		m.Observe(m.era)
		select {
		case w.events <- event:
		default:
			m.closeWatch(w)
			return
		}
	}
	w.pending = nil
}

func (m *Memory) closeWatch(w *watcher) {
	if _, ok := m.watchers[w]; ok {
		delete(m.watchers, w)
		close(w.events)
	}
}
