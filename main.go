// Stilemast is a serving system for multi-stage model pipelines; see README.md.
package main

import (
	"os"

	"github.com/stilemast/stilemast/platform"
	"github.com/stilemast/stilemast/src/cli"
)

func main() { os.Exit(cli.Main(os.Args, platform.Adapter())) }
