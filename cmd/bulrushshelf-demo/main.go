// Command bulrushshelf-demo runs a whole deployment in one process on loopback,
// makes all planned kinds of change under traffic, and reports broken promises,
// such as a flow that broke or a request that ran twice.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/bulrushshelf/bulrushshelf/internal/demo"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// Exit codes.
const (
	exitOK      = 0
	exitBroken  = 1 // a promise was broken
	exitUsage   = 2
	exitFailure = 3 // the demonstration could not be completed
)

type options struct {
	Deployment string `long:"deployment" default:"varmevej" choice:"varmevej" choice:"podas" description:"sample deployment to run"`
	Seed       uint64 `long:"seed" default:"1" description:"seed of the network's random choices"`
	Report     string `long:"report" value-name:"FILE" description:"write the result as JSON to FILE"`
	Log        string `long:"log" value-name:"FILE" description:"write the processes' log lines to FILE"`
	Quiet      bool   `long:"quiet" description:"print only the result"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return exitOK
		}
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	report, err := runDemo(opts, stdout)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	if len(report.BrokenPromises) > 0 {
		return exitBroken
	}
	return exitOK
}

func runDemo(opts options, stdout io.Writer) (*demo.Report, error) {
	var logTo io.Writer = io.Discard
	if opts.Log != "" {
		f, err := os.Create(opts.Log)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		logTo = f
	}
	logger, err := telemetry.NewLogger(logTo, "info", "demo", opts.Deployment)
	if err != nil {
		return nil, err
	}
	report, err := demo.Run(demo.Options{
		Deployment: opts.Deployment, Seed: opts.Seed, Logger: logger,
		Progress: func(format string, args ...any) {
			if !opts.Quiet {
				fmt.Fprintf(stdout, format+"\n", args...)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	report.Table(stdout)
	return report, writeReport(opts.Report, report)
}

func writeReport(name string, report *demo.Report) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := report.JSON(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
