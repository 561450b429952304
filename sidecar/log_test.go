package sidecar_test

import (
	"slices"
	"strings"
	"sync"
)

// lockedLog holds what a node logs. It is safe for concurrent use.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedLog) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// lines returns the lines that contain one of the texts.
func (l *lockedLog) lines(texts ...string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found strings.Builder
	for line := range strings.Lines(l.text.String()) {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			found.WriteString(line)
		}
	}
	return found.String()
}

// count returns how often the text occurs.
func (l *lockedLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}
