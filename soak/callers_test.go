package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawharf/magnoliawharf/platform/wire"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	callersPerMachine = 3
	callerPause       = 40 * time.Millisecond // mean time between two requests of a caller
	maxWork           = 120 * time.Millisecond
	manualSize        = 60 << 10
	abandonShare      = 0.03
	// responseWait is the time beyond the time limit after which the caller stops waiting for a response.
	responseWait = 4 * time.Second
)

// routeMix lists the requested routes and their weights.
var routeMix = []struct {
	route, kind string
	weight      int
}{
	{"browse", wire.KindIdempotent, 5}, {"reserve", wire.KindNotIdempotent, 4}, {"manual", wire.KindDownload, 1},
	{"moved", wire.KindIdempotent, 3}, {"extra", wire.KindNotIdempotent, 1},
}

// caller sends requests to one node over persistent connections.
type caller struct {
	fleet  *fleet
	index  int
	target *machine
	client *http.Client
	random *rand.Rand
	sent   int
}

func newCaller(f *fleet, index int, target *machine, random *rand.Rand) *caller {
	return &caller{
		fleet: f, index: index, target: target, random: random,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for wait.For(ctx, time.Duration(c.random.ExpFloat64()*float64(callerPause))) {
		c.send()
	}
	c.client.CloseIdleConnections()
}

// draw returns a random request.
func (c *caller) draw() *request {
	total := 0
	for _, a := range routeMix {
		total += a.weight
	}
	chosen := routeMix[0]
	for n, i := c.random.IntN(total), 0; i < len(routeMix); i++ {
		if n -= routeMix[i].weight; n < 0 {
			chosen = routeMix[i]
			break
		}
	}
	c.sent++
	r := &request{
		id: fmt.Sprintf("%d-%d-%d", c.target.index, c.index, c.sent), route: chosen.route, kind: chosen.kind, machine: c.target.index,
		method: http.MethodGet, limit: requestLimit,
	}
	if chosen.kind == wire.KindNotIdempotent {
		r.method = http.MethodPost
	}
	if chosen.kind == wire.KindDownload {
		r.size = manualSize
	}
	r.key, r.forged = c.fleet.operator.drawKey(c.random)
	r.uri = fmt.Sprintf("/%s/%s?work=%s&size=%d", chosen.route, r.id, time.Duration(c.random.Int64N(int64(maxWork))), r.size)
	return r
}

// send sends one random request.
func (c *caller) send() {
	r := c.draw()
	body := bytes.Repeat([]byte{'a' + byte(c.sent%26)}, 1+c.random.IntN(2<<10))
	c.deliver(r, body, c.random.Float64() < abandonShare)
}

// sendCrashing sends a request that crashes the back end which runs it. Requests with the same name are equal to the
// nodes. Every second one has its body in chunks.
func (c *caller) sendCrashing(name string, size int) {
	c.deliver(&request{
		id: fmt.Sprintf("%s-%d", name, c.index), route: "reserve", kind: wire.KindNotIdempotent, machine: c.target.index,
		method: http.MethodPost, limit: requestLimit, uri: "/reserve/" + name + "?crash=1", crashes: name,
		key: c.fleet.operator.lastKey(), chunked: c.index%2 == 1,
	}, bytes.Repeat([]byte("c"), size), false)
}

// deliver sends a request and records its outcome. With abandons, the caller gives up after a random time.
func (c *caller) deliver(r *request, body []byte, abandons bool) {
	r.bodySum = xxhash.Sum64(body)
	// A body without GetBody keeps net/http from retrying the request itself.
	out, err := http.NewRequest(r.method, "http://"+c.target.address(callersPort)+r.uri, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		c.fleet.t.Error(err)
		return
	}
	if !r.chunked {
		out.ContentLength = int64(len(body))
	}
	out.Host = host
	out.Header.Set(wire.RequestIDField, r.id)
	out.Header.Set(wire.TimeLimitField, strconv.FormatInt(r.limit.Milliseconds(), 10))
	for _, field := range r.identity() {
		out.Header.Set(field[0], field[1])
	}
	timeout := r.limit + responseWait
	if abandons {
		timeout = time.Duration(c.random.Int64N(int64(maxWork)))
	}
	c.fleet.oracle.recordSent(r)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, answer, err := c.exchange(out.WithContext(ctx))
	ended, abandoned := time.Now(), abandons && ctx.Err() != nil
	c.fleet.oracle.recordEnd(r, ended, func() {
		if abandoned {
			r.abandoned = ended
			return
		}
		r.err = err
		if err == nil {
			r.answered(response, answer)
		}
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		time.Sleep(callerPause) // the node is down
	}
}

func (c *caller) exchange(out *http.Request) (*http.Response, []byte, error) {
	response, err := c.client.Do(out)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
