package inbound

import "time"

// SetEvacuated takes the upstream out of service while the zone is evacuated: waiting requests are refused, and new ones too. Afterwards it
// is not known whether the upstream is cold, so the cold rate holds until a later report says that it is warm.
func (p *Proxy) SetEvacuated(now time.Time, evacuated bool) {
	p.mu.Lock()
	if p.evacuated == evacuated {
		p.mu.Unlock()
		return
	}
	p.evacuated = evacuated
	cause := "its zone is evacuated"
	if !evacuated {
		cause = "the evacuation of its zone has ended"
		p.cold.reset(now)
	}
	notifyCold := p.updateColdLimit(now, cause) // before the state, so that no request starts without the limit
	notify := p.setState(now, p.state, cause)
	p.mu.Unlock()
	notifyCold()
	notify()
}
