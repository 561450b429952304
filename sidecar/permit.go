package sidecar

import "github.com/magnoliawharf/magnoliawharf/caller"

// permitStep is the step named by refusals of permit.
const permitStep = "permit"

// permit returns the refusal of an attempt of a request with a key that may not run: the node cannot prove that the contracts in force
// are the newest, or they no longer give the key to the tenant of the request. Retries and hedges may be sent seconds after the key was
// looked up. Requests on public routes need no key.
func (s *Sidecar) permit(req *caller.Request) *caller.Refusal {
	refusal := s.previewPermit(req)
	if refusal != nil && refusal.Reason == caller.ContractsStale {
		staleRefusedTotal.Inc()
	}
	return refusal
}

// previewPermit is permit without an effect on counters.
func (s *Sidecar) previewPermit(req *caller.Request) *caller.Refusal {
	if req.Tenant == "" || req.Public {
		return nil
	}
	isCurrent := s.isCurrent() // before the contracts are loaded, for which it then holds
	contracts := s.contracts.Load()
	if contracts == nil {
		return refuseStale()
	}
	tenant, known := contracts.TenantOf(req.Credential)
	switch {
	case !contracts.Keyed():
		return nil
	case !isCurrent:
		return refuseStale()
	case !known || tenant.Name != req.Tenant:
		return caller.Refuse(caller.Unauthenticated, permitStep, s.Settings.Node)
	}
	return nil
}
