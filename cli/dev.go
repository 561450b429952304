package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/standin/backend"
)

const upstreamDrainTimeout = 30 * time.Second

func newDev() *cobra.Command {
	return group("dev", "Run stand-ins for development", "  magnoliawharf dev store --listen 127.0.0.1:2379",
		newDevUpstream())
}

func newDevUpstream() *cobra.Command {
	var o backend.Options
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Run a stand-in for an upstream until SIGTERM",
		Long: `Run a stand-in for an upstream that announces itself to the node beside it. It echoes requests as JSON with a
unique run ID. Query values steer a request: work=20ms, size=1000000, cut=1000, status=503, crash=1,
call=/other/path. GET /standin/runs counts runs by idempotency key. SIGTERM drains it.`,
		Example: "  magnoliawharf dev upstream --service catalogue --node 127.0.0.1:8082",
		Args:    exactArgs(0),
	}
	format := addOutput(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		o.Log = newLog(cmd.ErrOrStderr(), "info")
		o.Exit = func() { os.Exit(ExitFailed) }
		started, err := backend.Start(o)
		if err != nil {
			return fmt.Errorf("upstream cannot start: %w; choose another --listen", err)
		}
		defer started.Close()
		err = print(cmd.OutOrStdout(), *format, fmt.Sprintf("upstream of %s serves at %s\n", o.Service, started.Addr()), struct {
			Service string `json:"service"`
			Addr    string `json:"addr"`
		}{o.Service, started.Addr()})
		if err != nil {
			return err
		}
		<-cmd.Context().Done()
		ctx, cancel := context.WithTimeout(context.Background(), upstreamDrainTimeout)
		defer cancel()
		return started.Drain(ctx)
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Service, "service", "", "service that the upstream serves")
	flags.StringVar(&o.Node, "node", "", "host:port of the node's local listener")
	flags.StringVar(&o.Listen, "listen", "127.0.0.1:0", "host:port to serve at")
	flags.StringVar(&o.Callers, "callers", "", "host:port of a callers' listener for nested calls")
	flags.IntVar(&o.Slots, "slots", backend.DefaultSlots, "requests run at the same time")
	flags.DurationVar(&o.ServiceTime, "service-time", backend.DefaultServiceTime, "time that each request takes")
	flags.DurationVar(&o.Cold, "cold", 0, "time after the start for which the state is cold")
	flags.DurationVar(&o.TTL, "ttl", backend.DefaultTTL, "time to live of an announcement, at most 2s")
	_ = cmd.MarkFlagRequired("service")
	_ = cmd.MarkFlagRequired("node")
	return cmd
}
