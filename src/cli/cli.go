// Package cli implements the command line; every part of stilemast is a subcommand of one binary.
package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/logging"
	"github.com/stilemast/stilemast/src/node"
	"github.com/stilemast/stilemast/src/rpc"
	"github.com/stilemast/stilemast/src/signals"
)

// serveCommandName is the command whose process handles stop signals by a graceful shutdown.
const serveCommandName = "serve"

// Release is the version of the program, as shown by --version and reported to operators.
const Release = "0.1.0"

// Exit codes of the program; scripts use them to decide whether a request may be sent again.
const (
	exitOK               = 0
	exitFailed           = 1 // the command failed, or its result says nothing about execution
	exitRefusedBeforeRun = 2
	exitOutcomeUnknown   = 3
	exitRefusedAfterRun  = 4
)

// Main runs the command line and returns the exit code. The adapter connects gateways to a platform.
func Main(args []string, adapter node.Adapter) int {
	if len(args) < 2 || args[1] != serveCommandName {
		signals.RestoreDefaults()
	}
	logging.RedirectGoZero(newLogger("warn"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &cli.Command{
		Name:                  "stilemast",
		Usage:                 "serve multi-stage model pipelines inside the boundaries an operator sets",
		Version:               Release,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			serveCommand(adapter), demoCommand(), runCommand(), loadCommand(), experimentCommand(),
			validateCommand(), planCommand(), statusCommand(), drainCommand(), explainCommand(),
			costCommand(), burnCommand(), exampleCommand(), standinCommand(), traceCommand(), whyCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, errAlreadyReported) {
		fmt.Fprintln(os.Stderr, "stilemast:", err)
	}
	return exitCode(err)
}

// errAlreadyReported makes a command fail without printing an error, because it has already printed what was wrong.
var errAlreadyReported = errors.New("failed")

// exitCode maps an error to the exit code that says whether anything ran.
func exitCode(err error) int {
	if r := rpc.ResultOf(err); r != nil {
		switch code.Ran(r.GetRan()) {
		case code.RanNo:
			return exitRefusedBeforeRun
		case code.RanUnknown:
			return exitOutcomeUnknown
		case code.RanYes:
			return exitRefusedAfterRun
		}
	}
	return exitFailed
}

// newLogger returns a logger that writes JSON lines of at least the given level to standard error.
func newLogger(level string) *slog.Logger { return logging.New(os.Stderr, level) }
