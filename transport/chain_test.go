package transport_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

// Guards against forged chains: a value that cannot be parsed is rejected, and attempts and depths above the
// limits are clamped.
func TestDecodeChain(t *testing.T) {
	cases := map[string]struct {
		values         []string
		fails          bool
		attempt, depth int
	}{
		"absent":      {nil, false, 1, 0},
		"empty":       {[]string{""}, false, 1, 0},
		"valid":       {[]string{"1.2.3.1000.1700000000000000"}, false, 2, 3},
		"attempts":    {[]string{"1.1000000.3.1000.17"}, false, caller.MaxChainAttempts, 3},
		"depth":       {[]string{"1.1.99.1000.17"}, false, 1, caller.MaxDepth},
		"two fields":  {[]string{"1.1.1.1000.17", "1.1.1.1000.17"}, true, 0, 0},
		"version":     {[]string{"2.1.1.1000.17"}, true, 0, 0},
		"short":       {[]string{"1.1.1.1000"}, true, 0, 0},
		"negative":    {[]string{"1.1.1.-1000.17"}, true, 0, 0},
		"no number":   {[]string{"1.1.x.1000.17"}, true, 0, 0},
		"depth zero":  {[]string{"1.1.0.1000.17"}, true, 0, 0},
		"long time":   {[]string{"1.1.1.90000000000000.17"}, true, 0, 0},
		"long header": {[]string{"1.1.1.1000." + string(make([]byte, 200))}, true, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := transport.DecodeChain(http.Header{transport.HeaderChain: c.values})
			assert.Equal(t, err != nil, c.fails)
			assert.Equal(t, got.Attempt, c.attempt)
			assert.Equal(t, got.Depth, c.depth)
		})
	}
}

// Guards against a child call that outlives its parent call, and against refusals caused by clock skew
// between the nodes.
func TestChainLimitsTime(t *testing.T) {
	sent := time.UnixMicro(1_700_000_000_000_000)
	encoded := transport.EncodeChain(caller.Chain{Attempt: 1, Depth: 1, TimeLeft: time.Second, SentAt: sent})
	chain, err := transport.DecodeChain(http.Header{transport.HeaderChain: {encoded}})
	assert.NilError(t, err)
	assert.Equal(t, chain.Limit(sent.Add(300*time.Millisecond), time.Minute), 700*time.Millisecond)
	assert.Equal(t, chain.Limit(sent, 100*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, chain.Limit(sent.Add(-time.Hour), time.Minute), time.Second)
	assert.Equal(t, chain.Limit(sent.Add(time.Hour), time.Minute), time.Second)
	assert.Equal(t, caller.Chain{Attempt: 1}.Limit(sent, time.Minute), time.Minute)
}
