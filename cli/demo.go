package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/wait"
)

const (
	// demoMaxCrashRequests bounds how often the request that crashes upstreams is sent; the third is expected to be
	// refused.
	demoMaxCrashRequests = 10
	// demoCrashInterval is longer than a crashed upstream takes to restart.
	demoCrashInterval = 1500 * time.Millisecond
)

func newDemo() *cobra.Command {
	var keep bool
	var level string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small system in one process and send it requests",
		Long: `Run a store stand-in, six nodes in three data centres and six upstreams of two services in this process, on
loopback. Roll out a signed bundle, send HTTP requests and print each response and the upstream that served it.
The exit code is 1 when a response differs from the expected one.`,
		Example: "  magnoliawharf demo\n  magnoliawharf demo --keep",
		Args:    exactArgs(0),
	}
	format := addOutput(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		fleet, err := startDemo(cmd.ErrOrStderr(), level)
		defer func() { err = errors.Join(err, fleet.stop()) }()
		if err != nil {
			return fmt.Errorf("demo cannot start: %w", err)
		}
		d := &demo{fleet: fleet, out: cmd.OutOrStdout(), format: *format}
		if err := d.run(cmd.Context()); err != nil {
			return err
		}
		if keep {
			if err := d.printNodeAddresses(); err != nil {
				return err
			}
			<-cmd.Context().Done()
		}
		return nil
	}
	cmd.Flags().BoolVar(&keep, "keep", false, "keep the system running after the requests, until SIGTERM")
	cmd.Flags().StringVar(&level, "log-level", "error", "lowest level that the nodes log: debug, info, warn or error")
	return cmd
}

// demo runs the steps of the demo in order and prints their results.
type demo struct {
	fleet  *demoFleet
	out    io.Writer
	format string
}

func (d *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 4*demoStateTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{
		d.rollOutFirst, d.plainCalls, d.atMostOnce, d.refusals, d.crashes, d.drain, d.rollOutSecond,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// demoEvent is a change of the system between the calls, with the time that it took.
type demoEvent struct {
	Title     string `json:"title"`
	TookMicro int64  `json:"took_us"`
}

func (d *demo) reportEvent(title string, start time.Time) error {
	event := demoEvent{title, time.Since(start).Microseconds()}
	return printResult(d.out, d.format, fmt.Sprintf("%-34s %.1f ms\n", event.Title, float64(event.TookMicro)/1000), event)
}

// call sends one request to the node with index entry, prints the result and checks it.
func (d *demo) call(ctx context.Context, entry int, c demoCall, check func(demoCall) bool) (demoCall, error) {
	n := d.fleet.nodes[entry]
	c.Entry = n.Settings.ID
	if err := c.do(ctx, n.CallerAddr()); err != nil {
		return c, fmt.Errorf("%s: %w", c.Title, err)
	}
	if err := printResult(d.out, d.format, c.line(), c); err != nil {
		return c, err
	}
	if !check(c) {
		return c, fmt.Errorf("%s: unexpected response: status %d, refusal %q", c.Title, c.Status, c.Refusal)
	}
	return c, nil
}

func isServed(c demoCall) bool { return c.Status == http.StatusOK && c.Upstream != "" }

func isRefused(reason caller.Reason, ran caller.RunState) func(demoCall) bool {
	return func(c demoCall) bool { return c.Refusal == string(reason) && c.Ran == ran.String() }
}

func (d *demo) rollOutFirst(ctx context.Context) error {
	start := time.Now()
	if err := d.fleet.ready(ctx); err != nil {
		return err
	}
	if err := d.reportEvent("all nodes know all upstreams", start); err != nil {
		return err
	}
	start = time.Now()
	if err := d.fleet.rollOut(ctx, demoSource, 1); err != nil {
		return err
	}
	return d.reportEvent("bundle version 1 in force everywhere", start)
}

func (d *demo) plainCalls(ctx context.Context) error {
	for _, step := range []struct {
		entry int
		call  demoCall
		check func(demoCall) bool
	}{
		{0, demoCall{Title: "beside an upstream", Path: "/catalogue/tools"}, isServed},
		{5, demoCall{Title: "from another service's node", Path: "/catalogue/tools?q=saw"}, isServed},
		{1, demoCall{Title: "call below a call", Path: "/reservations/open?call=/catalogue/tools"},
			func(c demoCall) bool { return isServed(c) && c.Nested != "" }},
		{3, demoCall{Title: "download", Path: "/catalogue/videos/saw?size=20000000"},
			func(c demoCall) bool { return isServed(c) && c.Bytes == 20_000_000 }},
	} {
		step.call.Method = http.MethodGet
		if _, err := d.call(ctx, step.entry, step.call, step.check); err != nil {
			return err
		}
	}
	return nil
}

// atMostOnce sends one reservation with the same key to two nodes and checks that it ran once.
func (d *demo) atMostOnce(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	reserve := demoCall{Title: "reservation", Method: http.MethodPost, Path: "/reservations/saw", Key: key.String()}
	if err := d.awaitKeepers(ctx); err != nil {
		return err
	}
	first, err := d.call(ctx, 0, reserve, isServed)
	if err != nil {
		return err
	}
	reserve.Title = "same key again, at another node"
	_, err = d.call(ctx, 4, reserve, func(c demoCall) bool { return isServed(c) && c.Run == first.Run })
	return err
}

// awaitKeepers sends reservations, each with its own key, until one is served, for which the keepers of the service must
// hold leases.
func (d *demo) awaitKeepers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoStateTimeout)
	defer cancel()
	start := time.Now()
	for {
		key, err := uuid.NewV7()
		if err != nil {
			return err
		}
		probe := demoCall{Method: http.MethodPost, Path: "/reservations/warm-up", Key: key.String()}
		if err := probe.do(ctx, d.fleet.nodes[0].CallerAddr()); err != nil {
			return err
		}
		if isServed(probe) {
			return d.reportEvent("keepers of reservations at work", start)
		}
		if probe.Ran != caller.NotRun.String() {
			return fmt.Errorf("unexpected refusal while the keepers start: %s, %s", probe.Refusal, probe.Ran)
		}
		if !wait.For(ctx, 200*time.Millisecond) {
			return fmt.Errorf("keepers of reservations did not start: %s", probe.Refusal)
		}
	}
}

func (d *demo) refusals(ctx context.Context) error {
	for _, step := range []struct {
		call  demoCall
		check func(demoCall) bool
	}{
		{demoCall{Title: "reservation without a key", Method: http.MethodPost, Path: "/reservations/saw"},
			isRefused(caller.KeyMissing, caller.NotRun)},
		{demoCall{Title: "unknown service", Method: http.MethodGet, Path: "/nothing"},
			isRefused(caller.NoService, caller.NotRun)},
	} {
		if _, err := d.call(ctx, 1, step.call, step.check); err != nil {
			return err
		}
	}
	return nil
}

// crashes sends a request that crashes each upstream that runs it, until the request is quarantined.
func (d *demo) crashes(ctx context.Context) error {
	crashing := demoCall{Title: "request that crashes its upstream", Method: http.MethodPost, Path: "/catalogue/notes?crash=1"}
	for range demoMaxCrashRequests {
		last, err := d.call(ctx, 1, crashing, func(c demoCall) bool { return c.Refusal != "" })
		if err != nil {
			return err
		}
		if last.Refusal == string(caller.Quarantined) {
			return nil
		}
		crashing.Title = "sent again"
		if !wait.For(ctx, demoCrashInterval) {
			return ctx.Err()
		}
	}
	return errors.New("a request that crashes upstreams was not quarantined")
}

// drain stops one upstream gracefully while it runs a request, and checks that the request is finished.
func (d *demo) drain(ctx context.Context) error {
	type result struct {
		call demoCall
		err  error
	}
	slow := demoCall{Title: "in flight at a planned stop", Method: http.MethodGet, Path: "/reservations/slow?work=1s", Entry: d.fleet.nodes[3].Settings.ID}
	done := make(chan result, 1)
	go func() {
		err := slow.do(ctx, d.fleet.nodes[3].CallerAddr())
		done <- result{slow, err}
	}()
	wait.For(ctx, 300*time.Millisecond)
	start, index := time.Now(), d.fleet.busiest()
	if err := d.fleet.upstreams[index].Drain(ctx); err != nil {
		return err
	}
	if err := d.reportEvent("planned stop of an upstream", start); err != nil {
		return err
	}
	ended := <-done
	if ended.err != nil || !isServed(ended.call) {
		return fmt.Errorf("%s: status %d, %w", slow.Title, ended.call.Status, ended.err)
	}
	if err := printResult(d.out, d.format, ended.call.line(), ended.call); err != nil {
		return err
	}
	stopped := d.fleet.nodes[index].Settings.ID
	_, err := d.call(ctx, 3, demoCall{Title: "after the planned stop", Method: http.MethodGet, Path: "/reservations/next"},
		func(c demoCall) bool { return isServed(c) && c.Upstream != stopped })
	return err
}

func (d *demo) rollOutSecond(ctx context.Context) error {
	start := time.Now()
	source := bytes.Replace(demoSource, []byte(`timeout = "10m"`), []byte(`timeout = "20m"`), 1)
	if err := d.fleet.rollOut(ctx, source, 2); err != nil {
		return err
	}
	if err := d.reportEvent("bundle version 2 in force everywhere", start); err != nil {
		return err
	}
	_, err := d.call(ctx, 2, demoCall{Title: "under version 2", Method: http.MethodGet, Path: "/catalogue/tools"},
		func(c demoCall) bool { return isServed(c) && c.Version == "2" })
	return err
}

// printNodeAddresses prints the addresses of the nodes and of the store.
func (d *demo) printNodeAddresses() error {
	for i, n := range d.fleet.nodes {
		address := struct {
			Node    string `json:"node"`
			Service string `json:"service"`
			Callers string `json:"callers"`
			Local   string `json:"local"`
		}{n.Settings.ID, demoInstances[i].service, "http://" + n.CallerAddr(), "http://" + n.LocalAddr()}
		text := fmt.Sprintf("node %s beside %-12s callers %s  metrics %s/metrics\n", address.Node, address.Service, address.Callers, address.Local)
		if err := printResult(d.out, d.format, text, address); err != nil {
			return err
		}
	}
	return printResult(d.out, d.format, "store "+d.fleet.store.Endpoint()+"; Ctrl-C stops\n", struct {
		Store string `json:"store"`
	}{d.fleet.store.Endpoint()})
}
