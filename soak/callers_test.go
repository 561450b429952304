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
	mostWork          = 120 * time.Millisecond
	manualSize        = 60 << 10
	leaveShare        = 0.03
	// answerWait bounds the wait for an answer beyond the time limit, so that a lost one ends the request all the same.
	answerWait = 4 * time.Second
)

// asked lists the routes that callers ask for, by weight.
var asked = []struct {
	route, kind string
	weight      int
}{
	{"browse", wire.KindIdempotent, 5}, {"reserve", wire.KindNotIdempotent, 4}, {"manual", wire.KindDownload, 1},
	{"moved", wire.KindIdempotent, 3}, {"extra", wire.KindNotIdempotent, 1},
}

// caller sends requests to one node over connections that it keeps open until the node is gone.
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

func (c *caller) draw() *request {
	total := 0
	for _, a := range asked {
		total += a.weight
	}
	drawn := asked[0]
	for n, i := c.random.IntN(total), 0; i < len(asked); i++ {
		if n -= asked[i].weight; n < 0 {
			drawn = asked[i]
			break
		}
	}
	c.sent++
	r := &request{
		id: fmt.Sprintf("%d-%d-%d", c.target.index, c.index, c.sent), route: drawn.route, kind: drawn.kind, machine: c.target.index,
		method: http.MethodGet, limit: requestLimit,
	}
	if drawn.kind == wire.KindNotIdempotent {
		r.method = http.MethodPost
	}
	if drawn.kind == wire.KindDownload {
		r.size = manualSize
	}
	r.uri = fmt.Sprintf("/%s/%s?work=%s&size=%d", drawn.route, r.id, time.Duration(c.random.Int64N(int64(mostWork))), r.size)
	return r
}

// send sends one request of a kind that is drawn.
func (c *caller) send() {
	r := c.draw()
	body := bytes.Repeat([]byte{'a' + byte(c.sent%26)}, 1+c.random.IntN(2<<10))
	c.deliver(r, body, c.random.Float64() < leaveShare)
}

// sendCrashing sends a request that crashes the back end which runs it: the same one for the same name.
func (c *caller) sendCrashing(name string) {
	c.deliver(&request{
		id: fmt.Sprintf("%s-%d", name, c.index), route: "reserve", kind: wire.KindNotIdempotent, machine: c.target.index,
		method: http.MethodPost, limit: requestLimit, uri: "/reserve/" + name + "?crash=1", crashes: name,
	}, []byte(name), false)
}

// deliver sends a request and reports what came of it.
func (c *caller) deliver(r *request, body []byte, leaves bool) {
	r.bodySum = xxhash.Sum64(body)
	// A body that cannot be had again keeps net/http from sending the request twice on its own.
	out, err := http.NewRequest(r.method, "http://"+c.target.address(callersPort)+r.uri, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		c.fleet.t.Error(err)
		return
	}
	out.ContentLength = int64(len(body))
	out.Host = host
	out.Header.Set(wire.RequestIDField, r.id)
	out.Header.Set(wire.TimeLimitField, strconv.FormatInt(r.limit.Milliseconds(), 10))
	patience := r.limit + answerWait
	if leaves {
		patience = time.Duration(c.random.Int64N(int64(mostWork)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r.sent = time.Now()
	c.fleet.oracle.sending(r)
	status, seal, answer, err := c.exchange(out.WithContext(ctx))
	c.fleet.oracle.ending(r, func() {
		if leaves && ctx.Err() != nil {
			r.left = time.Now()
			return
		}
		r.err = err
		if err == nil {
			r.status, r.seal, r.body = status, seal, answer
		}
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		time.Sleep(callerPause) // the node is down
	}
}

func (c *caller) exchange(out *http.Request) (status int, seal string, body []byte, err error) {
	response, err := c.client.Do(out)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(wire.SealField), body, err
}

func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
