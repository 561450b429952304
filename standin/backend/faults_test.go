package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a renamed field of Faults that changes its name in the request body.
func TestFaultsKeepTheirNamesInRequests(t *testing.T) {
	var b Backend
	w := httptest.NewRecorder()
	body := `{"FailFast":true,"Slow":1000000,"Silent":true}`
	b.handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, FaultsPath, strings.NewReader(body)))
	assert.Equal(t, w.Code, http.StatusNoContent)
	assert.Equal(t, b.faults, Faults{FailFast: true, Slow: time.Millisecond, Silent: true})
}
