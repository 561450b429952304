package entryhttp_test

import (
	"testing"

	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport/entryhttp"
)

// Guards against a refusal that is held back, and a connection that stays busy without a limit, until a caller that has fallen
// silent has sent the rest of the body.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	sockets.AssertRefusedWithoutBody(t, &entryhttp.Handler{Contracts: contract.NewCurrent()})
}
