package sidecar

import "log/slog"

// reload takes settings that changed: the bounds of retries, routing and the log level. All others hold until the next
// start.
func (s *Sidecar) reload(load func() (Settings, error)) {
	next, err := load()
	if err != nil {
		s.Log.Error("settings not taken", "cause", err.Error())
		return
	}
	s.retries.Store(&next.Retries)
	s.roster.SetRouting(routingOf(next))
	s.Log.Info("settings read again", "retries", next.Retries, "routing", next.Routing, "log_level", next.Runtime.LogLevel)
	var level slog.Level
	if s.LogLevel == nil {
		return
	}
	if err := level.UnmarshalText([]byte(next.Runtime.LogLevel)); err != nil {
		s.Log.Error("log level not taken", "cause", err.Error())
		return
	}
	s.LogLevel.Set(level)
}
