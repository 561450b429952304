package peer

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// changeLogBurst is the number of changes of peers that are logged at once, and changeLogRate the number for each second
	// afterwards. When a whole fleet starts, each node sees each other one change several times.
	changeLogBurst = 100
	changeLogRate  = 10
)

// changeLog logs changes of peers. It counts those beyond its rate and logs their number. It is safe for concurrent use.
type changeLog struct {
	log     *slog.Logger
	limiter *rate.Limiter
	skipped atomic.Int64
}

func newChangeLog(log *slog.Logger) *changeLog {
	return &changeLog{log: log, limiter: rate.NewLimiter(changeLogRate, changeLogBurst)}
}

// record logs the new status of a peer, or counts it.
func (l *changeLog) record(s Status) {
	if !l.limiter.Allow() {
		l.skipped.Add(1)
		return
	}
	l.log.Info("peer changed", "peer", s.Node, "boot", s.Boot, "revision", s.Revision, "service", s.Service,
		"upstream", s.Upstream, "serving", s.Serving, "slots", s.Slots, "zone", s.Zone)
}

// flush logs the number of changes that were only counted since the last call, if there are any.
func (l *changeLog) flush() {
	if skipped := l.skipped.Swap(0); skipped > 0 {
		l.log.Info("further peers changed", "count", skipped)
	}
}
