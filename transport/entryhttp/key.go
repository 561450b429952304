package entryhttp

import (
	"net/http"
	"strings"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
)

const (
	authorizationField = "Authorization"
	bearerScheme       = "Bearer"
)

// holder is the tenant that holds the key of a request, the zero value for a request without a known key.
type holder struct {
	tenant     string
	offset     int // of the priority of its requests
	credential caller.Credential
}

// authenticate returns the tenant whose key the request bears. It refuses a request without a known key on a route that needs one.
func (h *Handler) authenticate(contracts *contract.Contracts, route *contract.Route, r *http.Request) (holder, *caller.Refusal) {
	if !contracts.Keyed() {
		return holder{}, nil
	}
	if key, ok := bearerKey(r.Header[authorizationField]); ok {
		credential := caller.CredentialOf(key)
		if tenant, known := contracts.TenantOf(credential); known {
			return holder{tenant: tenant.Name, offset: contracts.PriorityOffset(tenant), credential: credential}, nil
		}
	}
	if route.Public {
		return holder{}, nil
	}
	if h.IsCurrent != nil && !h.IsCurrent() {
		return holder{}, caller.Refuse(caller.ContractsStale, acceptStep, "") // the key may be a new one
	}
	return holder{}, caller.Refuse(caller.Unauthenticated, acceptStep, "")
}

// bearerKey returns the key of the Authorization fields of a request (RFC 6750, section 2.1). There must be exactly one: with several,
// the caller and the node could take different ones for the key.
func bearerKey(fields []string) (key string, ok bool) {
	if len(fields) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(fields[0], " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	key = strings.TrimLeft(key, " ")
	return key, key != ""
}
