package node_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/node"
	"github.com/magnoliawharf/magnoliawharf/settings"
)

// Provisions, runs and stops a node. Only loopback addresses are bound.
func Example() {
	folder, err := os.MkdirTemp("", "magnoliawharf-example")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(folder)
	key, err := bundle.GenerateKey(time.Time{})
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := key.WriteFiles(filepath.Join(folder, "operator.key")); err != nil {
		fmt.Println(err)
		return
	}
	s := settings.Default()
	s.ID, s.DataCentre, s.Region = "kgl-a-1", "kgl-a", "kigali"
	s.TrustedKeys = []string{filepath.Join(folder, "operator.key.pub")}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Local: "127.0.0.1:0"}
	s.Seeds = []string{"127.0.0.1:1"} // no store and no other node in this example
	s.Runtime.DrainNotice = 0         // there are no callers to notify of the stop

	ctx, cancel := context.WithCancel(context.Background())
	cancel() // a program cancels on SIGTERM
	fmt.Println(runNode(ctx, s))
	// Output:
	// no bundle is in force yet
	// <nil>
}

func runNode(ctx context.Context, s settings.Settings) (err error) {
	n := &node.Node{Settings: s}
	defer func() { err = errors.Join(err, n.Cleanup()) }() // also after an error of Provision
	if err := n.Provision(); err != nil {
		return err
	}
	if err := n.Validate(); err != nil {
		return err
	}
	fmt.Println(n.NotReady()) // "" once a bundle is in force
	return n.Run(ctx)         // until ctx ends, then stops gracefully
}
