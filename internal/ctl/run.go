// Package ctl implements the commands of bulrushshelf-ctl.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

// Exit codes; exitCodes is their help text.
const (
	ExitOK          = 0
	ExitRefused     = 1 // findings, or the store or a node refused
	ExitUsage       = 2
	ExitUnavailable = 3 // the store or a node is unavailable; nothing was changed
	ExitUnknown     = 4 // a change may or may not have taken effect
)

const exitCodes = `Exit codes:
  0  done
  1  findings, or the store or a node refused
  2  wrong usage
  3  the store or a node is unavailable; nothing was changed
  4  the outcome of a change is unknown: run list, then repeat if needed`

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// withExitCode wraps an error with the exit code of the process.
func withExitCode(code int, err error) error { return &exitError{code, err} }

func exitErrorf(code int, format string, args ...any) error {
	return withExitCode(code, fmt.Errorf(format, args...))
}

// commonFlags are the flags that all commands share.
type commonFlags struct {
	JSON      bool          `long:"json" description:"print JSON"`
	Store     string        `long:"store" value-name:"URL" env:"BULRUSHSHELF_STORE" description:"address of the object store"`
	KeyFile   string        `long:"key-file" value-name:"FILE" env:"BULRUSHSHELF_KEY_FILE" description:"file with the shared key, for calls to nodes"`
	Balancers []string      `long:"balancer" value-name:"IP:port" env:"BULRUSHSHELF_BALANCERS" env-delim:"," description:"admin address of a balancer; may be repeated"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"timeout of the calls to the store and to nodes, or of a request; --wait is not limited by it"`
}

// ipPort is a flag value of the form IP:port.
type ipPort struct{ netip.AddrPort }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *ipPort) UnmarshalFlag(s string) (err error) {
	a.AddrPort, err = netip.ParseAddrPort(s)
	return err
}

// app holds the flags, outputs and platform that the commands share.
type app struct {
	commonFlags
	ctx         context.Context
	out, errOut io.Writer
	platform    Platform
}

// command is a command with its help texts; go-flags sets the fields of data.
type command struct {
	name, short, long string
	data              flags.Commander
}

func (a *app) commands() []command {
	return []command{
		{"check", "check a folder of decision files",
			"Reports every fault of every file, and addresses that two services claim.\n\nExample:\n  bulrushshelf-ctl check decisions/", &checkCommand{app: a}},
		{"merge", "show the result of a folder",
			"Prints each field in force and the file that sets it.\n\nExample:\n  bulrushshelf-ctl --json merge decisions/", &mergeCommand{app: a}},
		{"explain", "show where the settings of a name come from",
			"Prints each field of a service, data centre or target with the file that sets it and the files it overrode.\n\nExamples:\n" +
				"  bulrushshelf-ctl explain dispatch --dir decisions/\n  bulrushshelf-ctl --store http://10.0.0.5:9400 explain dispatch", &explainCommand{app: a}},
		{"put", "add or replace a decision file in the store",
			"Checks the file, shows what it overrides and which later files override it, writes it provided that nobody has changed it in the meantime, and pushes it to the balancers.\n\n" +
				"Example:\n  bulrushshelf-ctl --store http://10.0.0.5:9400 --balancer 10.0.0.1:7300 --key-file key put 20-dispatch-slots.yaml", &putCommand{app: a}},
		{"remove", "remove a decision file from the store",
			"Restores the values that the file overrode.\n\nExample:\n  bulrushshelf-ctl --store http://10.0.0.5:9400 remove 20-dispatch-slots.yaml", &removeCommand{app: a}},
		{"list", "list the decision files of the store", "Example:\n  bulrushshelf-ctl --store http://10.0.0.5:9400 list", &listCommand{app: a}},
		{"status", "show the state of nodes",
			"Queries the nodes at the given admin addresses, or those of --balancer.\n\nExample:\n  bulrushshelf-ctl --key-file key status 10.0.0.1:7300 10.0.0.2:7300", &statusCommand{app: a}},
		{"drain", "send no new work to a target",
			"Writes a decision file for the target. With --wait, queries its agent until all flows and requests have ended. Removing the file reverses the drain.\n\n" +
				"Example:\n  bulrushshelf-ctl --store http://10.0.0.5:9400 --balancer 10.0.0.1:7300 --key-file key drain dk-east-a-dispatch-1 --wait", &drainCommand{app: a}},
		{"request", "send an HTTP request through the balancers",
			"Acts as one caller and the fabric: sends the request once, each packet to a random balancer, and prints the response. Exits with 1 when the request was not run, with 3 when no connection was opened, and with 4 when it may have run. --timeout bounds the whole request.\n\n" +
				"Example:\n  bulrushshelf-ctl request --fabric 10.0.0.1:7000 --fabric 10.0.0.2:7000 --return 10.0.0.9:7001 http://10.80.0.1:80/", &requestCommand{app: a}},
	}
}

// Run runs the command given by args and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	return runApp(&app{ctx: ctx, out: out, errOut: errOut}, args)
}

func runApp(a *app, args []string) int {
	parser := flags.NewNamedParser("bulrushshelf-ctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Command-line tool for the operators of bulrushshelf.\n\n" + exitCodes
	if _, err := parser.AddGroup("Common options", "", &a.commonFlags); err != nil {
		return a.reportError(trace.Wrap(err))
	}
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return a.reportError(trace.Wrap(err))
		}
	}
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return exitErrorf(ExitUsage, "unexpected argument %q", rest[0])
		}
		return c.Execute(nil)
	}
	_, err := parser.ParseArgs(args)
	return a.reportError(err)
}

// reportError prints an error and returns its exit code.
func (a *app) reportError(err error) int {
	var flagsErr *flags.Error
	var exitErr *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, flagsErr.Message)
		return ExitOK
	case errors.As(err, &exitErr):
		fmt.Fprintln(a.errOut, "bulrushshelf-ctl:", exitErr.err)
		return exitErr.code
	case errors.As(err, &flagsErr):
		fmt.Fprintln(a.errOut, "bulrushshelf-ctl:", flagsErr.Message)
		return ExitUsage
	}
	fmt.Fprintln(a.errOut, "bulrushshelf-ctl:", err)
	return ExitRefused
}

// print writes v as JSON if --json is set; otherwise it calls printText.
func (a *app) print(v any, printText func()) error {
	if !a.JSON {
		printText()
		return nil
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(v))
}

// printf writes to the output, warnf writes a warning to the error output.
func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.out, format, args...) }
func (a *app) warnf(format string, args ...any) {
	fmt.Fprintf(a.errOut, "warning: "+format+"\n", args...)
}

// callContext returns a context with the time limit of --timeout.
func (a *app) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.Timeout)
}

func (a *app) storeClient() (*storeclient.Client, error) {
	if a.Store == "" {
		return nil, exitErrorf(ExitUsage, "the flag --store or BULRUSHSHELF_STORE is needed")
	}
	c, err := storeclient.New(storeclient.Options{URL: a.Store, Seed: uint64(time.Now().UnixNano()), Transport: a.platform.Transport})
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	return c, nil
}

// storeErrorWithCode gives the error of a store call its exit code.
func storeErrorWithCode(err error) error {
	switch storeclient.KindOf(err) {
	case storeclient.Lost, storeclient.Unavailable, storeclient.RateLimited:
		return withExitCode(ExitUnavailable, err)
	}
	return withExitCode(ExitRefused, err)
}
