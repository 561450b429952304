package sidecar

import "log/slog"

// reload loads the settings and applies those that can change at run time: retries and hedges, routing and the log level. Changes of
// all others take effect at the next start.
func (s *Sidecar) reload(load func() (Settings, error)) {
	next, err := load()
	if err != nil {
		s.Log.Error("cannot reload settings", "cause", err.Error())
		return
	}
	s.retries.Store(&next.Retries)
	s.hedging.Store(&next.Hedging)
	s.roster.SetRouting(peerRouting(next))
	s.Log.Info("settings reloaded", "retries", next.Retries, "hedging", next.Hedging,
		"routing", next.Routing, "log_level", next.Runtime.LogLevel)
	var level slog.Level
	if s.LogLevel == nil {
		return
	}
	if err := level.UnmarshalText([]byte(next.Runtime.LogLevel)); err != nil {
		s.Log.Error("invalid log level", "cause", err.Error())
		return
	}
	s.LogLevel.Set(level)
}
