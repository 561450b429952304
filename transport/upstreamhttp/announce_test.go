package upstreamhttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

type recordingAnnouncer struct {
	got             []upstream.Announcement
	deregistrations int
}

func (a *recordingAnnouncer) Announce(_ time.Time, announced upstream.Announcement) {
	a.got = append(a.got, announced)
}
func (a *recordingAnnouncer) Deregister(time.Time) { a.deregistrations++ }

// Guards against announcements with values out of range, which would bring a wrong number of slots or an
// invalid address into routing.
func TestAnnouncementsAreChecked(t *testing.T) {
	const valid = `{"service":"ledger","address":"127.0.0.1:9000","state":"ready","slots":12,"ttl_ms":1500}`
	cases := map[string]struct {
		from, to string
		status   int
	}{
		"valid":           {"", "", http.StatusNoContent},
		"with load":       {`"slots":12`, `"slots":12,"load":3`, http.StatusNoContent},
		"unknown field":   {`"slots":12`, `"slots":12,"weight":3`, http.StatusBadRequest},
		"negative load":   {`"slots":12`, `"slots":12,"load":-3`, http.StatusBadRequest},
		"no service":      {`"ledger"`, `""`, http.StatusBadRequest},
		"host name":       {`127.0.0.1:9000`, `example.org:9000`, http.StatusBadRequest},
		"port zero":       {`127.0.0.1:9000`, `127.0.0.1:0`, http.StatusBadRequest},
		"unknown state":   {`"ready"`, `"left"`, http.StatusBadRequest},
		"no slots":        {`"slots":12`, `"slots":0`, http.StatusBadRequest},
		"too many slots":  {`"slots":12`, `"slots":100000`, http.StatusBadRequest},
		"long life":       {`1500`, `2001`, http.StatusBadRequest},
		"overflowing":     {`1500`, `9223372036854775807`, http.StatusBadRequest},
		"overflowing, 2":  {`1500`, `18446744073711`, http.StatusBadRequest},
		"over 64 bits":    {`1500`, `9223372036854775808`, http.StatusBadRequest},
		"endless life":    {`1500`, `1e999`, http.StatusBadRequest},
		"nested":          {`"ledger"`, strings.Repeat("[", 2000), http.StatusBadRequest},
		"no life":         {`1500`, `0`, http.StatusBadRequest},
		"second document": {`1500}`, `1500}{}`, http.StatusBadRequest},
		"too long":        {`"ledger"`, `"` + strings.Repeat("l", 5000) + `"`, http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			announcer := &recordingAnnouncer{}
			recorder := httptest.NewRecorder()
			body := strings.Replace(valid, c.from, c.to, 1)
			(&upstreamhttp.AnnounceHandler{Announcer: announcer}).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, upstreamhttp.AnnouncePath, strings.NewReader(body)))
			assert.Equal(t, recorder.Code, c.status, recorder.Body.String())
			assert.Equal(t, len(announcer.got) == 1, c.status == http.StatusNoContent)
			if c.status == http.StatusNoContent {
				assert.Equal(t, announcer.got[0].State, instance.Ready)
				assert.Equal(t, announcer.got[0].TimeToLive, 1500*time.Millisecond)
			}
		})
	}
}

// Guards against a DELETE that does not withdraw the announcement.
func TestDeregister(t *testing.T) {
	announcer := &recordingAnnouncer{}
	recorder := httptest.NewRecorder()
	(&upstreamhttp.AnnounceHandler{Announcer: announcer}).ServeHTTP(recorder, httptest.NewRequest(http.MethodDelete, upstreamhttp.AnnouncePath, nil))
	assert.Equal(t, recorder.Code, http.StatusNoContent)
	assert.Equal(t, announcer.deregistrations, 1)
}
