package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/standin/backend"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/transport/httpserver"
)

// upstreamDrainTimeout bounds the graceful stop of the upstream stand-in.
const upstreamDrainTimeout = 30 * time.Second

func newDev() *cobra.Command {
	return newGroup("dev", "Run stand-ins for development", "  magnoliawharf dev store --listen 127.0.0.1:2379",
		newDevStore(), newDevUpstream())
}

func newDevStore() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in for the key-value store until SIGTERM",
		Long: `Run a stand-in for the platform's key-value store. It implements the v3 JSON gateway protocol and keeps its data
in memory only.`,
		Example: "  magnoliawharf dev store --listen 127.0.0.1:2379",
		Args:    exactArgs(0),
	}
	format := addOutput(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		started, err := startStore(listen)
		if err != nil {
			return fmt.Errorf("store cannot start: %w; choose another --listen", err)
		}
		defer started.Close()
		err = printResult(cmd.OutOrStdout(), *format, fmt.Sprintf("store serves at %s\n", started.Endpoint()), struct {
			Endpoint string `json:"endpoint"`
		}{started.Endpoint()})
		if err != nil {
			return err
		}
		<-cmd.Context().Done()
		return nil
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:2379", "host:port to serve at; port 0 takes a free port")
	return cmd
}

// devStore is the store stand-in and its HTTP server.
type devStore struct {
	memory *kvstore.Memory
	server *httpserver.Server
}

func startStore(listen string) (*devStore, error) {
	server, err := httpserver.Listen(httpserver.Options{
		Name: "store", Addr: listen, MaxHeaderBytes: httpserver.CallerHeaderBytes, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	memory := kvstore.NewMemory()
	server.Handle(kvstore.NewServer(memory))
	go func() { _ = server.Serve() }()
	return &devStore{memory: memory, server: server}, nil
}

// Endpoint returns the URL of the store.
func (s *devStore) Endpoint() string { return "http://" + s.server.Addr() }

// Close stops the server.
func (s *devStore) Close() { _ = s.server.Close() }

func newDevUpstream() *cobra.Command {
	var o backend.Options
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Run a stand-in for an upstream until SIGTERM",
		Long: `Run a stand-in for an upstream that announces itself to the node beside it. It echoes requests as JSON with a
unique run ID. Query parameters control a request: work=20ms, size=1000000, cut=1000, status=503, crash=1,
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
		err = printResult(cmd.OutOrStdout(), *format, fmt.Sprintf("upstream of %s serves at %s\n", o.Service, started.Addr()), struct {
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
	flags.StringVar(&o.Callers, "callers", "", "host:port of a node's listener for callers, used for nested calls")
	flags.IntVar(&o.Slots, "slots", backend.DefaultSlots, "maximum number of requests that run concurrently")
	flags.DurationVar(&o.ServiceTime, "service-time", backend.DefaultServiceTime, "time that each request takes")
	flags.DurationVar(&o.Cold, "cold", 0, "how long the state stays cold after the start")
	flags.DurationVar(&o.TTL, "ttl", backend.DefaultTTL, "time to live of an announcement, at most 2s")
	_ = cmd.MarkFlagRequired("service")
	_ = cmd.MarkFlagRequired("node")
	return cmd
}
