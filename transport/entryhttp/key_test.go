package entryhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/transport/entryhttp"
)

const (
	key        = "k-7F.3~x+/=" // every kind of character that a key of RFC 6750 may have
	revokedKey = "k-revoked"
)

// startKeyedServer starts a server with a route that needs a key, /a/, and a public one, /p/. Without tenants neither needs one.
func startKeyedServer(t *testing.T, d *recordingDispatcher, tenants map[string]contract.Tenant) *httptest.Server {
	t.Helper()
	route := func(name, prefix string, public bool) contract.Route {
		return contract.Route{
			Name: name, Host: "shop.example", PathPrefix: prefix, Rule: bundle.Idempotent, Priority: 2, MaxAttempts: 2, Public: public,
			Split: []contract.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	contracts, err := contract.New(contract.Contracts{
		Version: 3, Services: map[string]contract.Service{"s": {}}, Tenants: tenants, Limits: contract.Limits{MaxBodyBytes: 1},
		Routes: []contract.Route{route("a", "/a/", false), route("p", "/p/", true)},
	})
	assert.NilError(t, err)
	inForce := contract.NewCurrent()
	inForce.Adopt(contracts)
	server := httptest.NewServer(&entryhttp.Handler{
		Contracts: inForce, Splits: contract.NewSplitter(), Dispatcher: d, Origin: "cart", Dialect: caller.Dialect{RequestID: "X-Id", Tenant: "X-Tenant"},
	})
	t.Cleanup(server.Close)
	return server
}

func someTenants() map[string]contract.Tenant {
	return map[string]contract.Tenant{"t1": {Name: "t1", Priority: 2, Credentials: []caller.Credential{caller.CredentialOf(key)}}, "t2": {Name: "t2"}}
}

// sendKeyed sends a request with the header fields and returns the response with its body read.
func sendKeyed(t *testing.T, server *httptest.Server, path, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host, r.Header = "shop.example", header
	response, err := server.Client().Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(raw)
}

// Guards against requests that run without a key that a tenant holds, and against ones that are refused or attributed to no tenant
// although they bear one.
func TestKeysAreChecked(t *testing.T) {
	for name, test := range map[string]struct {
		fields []string // of Authorization
		known  bool
	}{
		"known":                    {[]string{"Bearer " + key}, true},
		"scheme in small letters":  {[]string{"bearer " + key}, true},
		"several spaces":           {[]string{"Bearer   " + key}, true},
		"missing":                  {nil, false},
		"empty":                    {[]string{""}, false},
		"scheme only":              {[]string{"Bearer"}, false},
		"scheme and space":         {[]string{"Bearer "}, false},
		"unknown":                  {[]string{"Bearer k-unknown"}, false},
		"revoked":                  {[]string{"Bearer " + revokedKey}, false},
		"in other letters":         {[]string{"Bearer " + strings.ToUpper(key)}, false},
		"with a second word":       {[]string{"Bearer " + key + " x"}, false},
		"with a comma":             {[]string{"Bearer " + key + ",Bearer " + key}, false},
		"another scheme":           {[]string{"Basic " + key}, false},
		"without a scheme":         {[]string{key}, false},
		"a tab for the space":      {[]string{"Bearer\t" + key}, false},
		"twice":                    {[]string{"Bearer " + key, "Bearer " + key}, false},
		"known and unknown":        {[]string{"Bearer " + key, "Bearer k-unknown"}, false},
		"very long":                {[]string{"Bearer " + strings.Repeat("k", 4<<10)}, false},
		"digest in place of a key": {[]string{"Bearer " + string(credentialText(key))}, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/a/", "/p/"} {
				d := &recordingDispatcher{answer: &caller.Answer{Status: 200, Body: http.NoBody}}
				response, text := sendKeyed(t, startKeyedServer(t, d, someTenants()), path, "", http.Header{"Authorization": test.fields})
				if path == "/a/" && !test.known {
					assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
					assert.Equal(t, response.Header.Get("WWW-Authenticate"), "Bearer")
					assert.Equal(t, text, "unauthenticated: the request is not-run\n")
					assert.Assert(t, d.got == nil, "the request was dispatched")
					continue
				}
				assert.Equal(t, response.StatusCode, 200)
				assert.Equal(t, d.got.Public, path == "/p/")
				if !test.known {
					assert.Equal(t, d.got.Tenant+d.got.Placement.Tenant, "")
					assert.Equal(t, d.got.Credential, caller.Credential{})
					continue
				}
				assert.Equal(t, d.got.Tenant, "t1")
				assert.Equal(t, d.got.Placement.Tenant, "t1")
				assert.Equal(t, d.got.Credential, caller.CredentialOf(key))
				assert.Equal(t, d.got.PriorityOffset, 6, "two tenants' priorities of the three that routes have")
			}
		})
	}
}

func credentialText(key string) []byte {
	digest := caller.CredentialOf(key)
	return []byte(strings.Map(func(r rune) rune { return 'a' + r%26 }, string(digest[:])))
}

// Guards against a key, or a tenant's name that the caller has made up, which goes on to an upstream.
func TestKeyAndForgedTenantAreNotForwarded(t *testing.T) {
	for name, test := range map[string]struct {
		tenants       map[string]contract.Tenant
		path          string
		authorization string // as it goes on
	}{
		"keyed route":     {someTenants(), "/a/", ""},
		"public route":    {someTenants(), "/p/", ""},
		"without tenants": {nil, "/a/", "Bearer " + key},
	} {
		d := &recordingDispatcher{answer: &caller.Answer{Status: 200, Body: http.NoBody}}
		response, _ := sendKeyed(t, startKeyedServer(t, d, test.tenants), test.path, "", http.Header{
			"Authorization": {"Bearer " + key}, "X-Tenant": {"t2", "t3"}, "X-Other": {"kept"},
		})
		assert.Equal(t, response.StatusCode, 200, name)
		header := http.Header(d.got.Header)
		assert.Equal(t, header.Get("Authorization"), test.authorization, name)
		assert.Equal(t, len(header.Values("X-Tenant")), 0, name)
		assert.Equal(t, header.Get("X-Other"), "kept", name)
	}
}

// Guards against callers without a key that learn limits, or make the node read their body, and against a missing route that looks like a
// missing key.
func TestKeyIsCheckedBeforeTheBody(t *testing.T) {
	d := &recordingDispatcher{answer: &caller.Answer{Status: 200, Body: http.NoBody}}
	server := startKeyedServer(t, d, someTenants())
	response, _ := sendKeyed(t, server, "/a/", "too long", nil)
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	response, _ = sendKeyed(t, server, "/a/", "too long", http.Header{"Authorization": {"Bearer " + key}})
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	response, _ = sendKeyed(t, server, "/none/", "", nil)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
}

// Guards against a status 401, which states that the request has not run, when that is not certain.
func TestStatusOfAWithdrawnKey(t *testing.T) {
	for ran, status := range map[caller.RunState]int{caller.NotRun: http.StatusUnauthorized, caller.Unknown: http.StatusBadGateway} {
		server := startServer(t, &recordingDispatcher{err: &caller.Refusal{Reason: caller.Unauthenticated, Ran: ran}})
		assert.Equal(t, request(t, server, "/a/", "", nil).StatusCode, status)
	}
}
