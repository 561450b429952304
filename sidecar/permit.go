package sidecar

import "github.com/magnoliawharf/magnoliawharf/caller"

const permitStep = "permit"

// permit refuses an attempt of a request whose key the contracts in force no longer give to its tenant. Retries and hedges may be sent
// seconds after the key was looked up.
func (s *Sidecar) permit(req *caller.Request) *caller.Refusal {
	if req.Tenant == "" || req.Public {
		return nil
	}
	if tenant, ok := s.contracts.Load().TenantOf(req.Credential); !ok || tenant.Name != req.Tenant {
		return caller.Refuse(caller.Unauthenticated, permitStep, s.Settings.Node)
	}
	return nil
}
