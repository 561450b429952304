// Command magnoliawharf runs a load-balancer node beside an upstream. It also prepares and rolls out bundles, checks
// settings files, and runs a demo and development stand-ins.
package main

import (
	"os"

	"github.com/magnoliawharf/magnoliawharf/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
