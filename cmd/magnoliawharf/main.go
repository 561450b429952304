// Command magnoliawharf is the node, the bundle tool and the demo in one binary.
package main

import (
	"os"

	"github.com/magnoliawharf/magnoliawharf/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
