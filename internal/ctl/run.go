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

// The exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // findings, or the store or a node refused
	ExitUsage       = 2
	ExitUnavailable = 3 // the store or a node did not answer; nothing was changed
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

func exit(code int, err error) error { return &exitError{code, err} }

func exitf(code int, format string, args ...any) error {
	return exit(code, fmt.Errorf(format, args...))
}

// globals are the flags of all commands.
type globals struct {
	JSON      bool          `long:"json" description:"print JSON"`
	Store     string        `long:"store" value-name:"URL" env:"BULRUSHSHELF_STORE" description:"address of the object store"`
	KeyFile   string        `long:"key-file" value-name:"FILE" env:"BULRUSHSHELF_KEY_FILE" description:"file with the shared key, for calls to nodes"`
	Balancers []string      `long:"balancer" value-name:"IP:port" env:"BULRUSHSHELF_BALANCERS" env-delim:"," description:"admin address of a balancer; may be repeated"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"time for the calls to store and nodes or for a request, without --wait"`
}

// ipPort is an address as the value of a flag.
type ipPort struct{ netip.AddrPort }

// UnmarshalFlag parses the value of a flag.
func (a *ipPort) UnmarshalFlag(s string) (err error) {
	a.AddrPort, err = netip.ParseAddrPort(s)
	return err
}

// app is one run of the command.
type app struct {
	globals
	ctx         context.Context
	out, errOut io.Writer
	platform    Platform
}

// command is the part of a command that go-flags fills.
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
			"Checks the file, shows what it overrides and which later files override it, writes it on the condition that nobody changed it meanwhile, and pushes it to the balancers.\n\n" +
				"Example:\n  bulrushshelf-ctl --store http://10.0.0.5:9400 --balancer 10.0.0.1:7300 --key-file key put 20-dispatch-slots.yaml", &putCommand{app: a}},
		{"remove", "remove a decision file from the store",
			"Restores the values that the file overrode.\n\nExample:\n  bulrushshelf-ctl --store http://10.0.0.5:9400 remove 20-dispatch-slots.yaml", &removeCommand{app: a}},
		{"list", "list the decision files of the store", "Example:\n  bulrushshelf-ctl --store http://10.0.0.5:9400 list", &listCommand{app: a}},
		{"status", "show the state of nodes",
			"Asks the given admin addresses, or those of --balancer.\n\nExample:\n  bulrushshelf-ctl --key-file key status 10.0.0.1:7300 10.0.0.2:7300", &statusCommand{app: a}},
		{"drain", "give a target no new work",
			"Writes a decision file for the target. With --wait, asks its agent until all flows and requests have ended. remove of the file reverses it.\n\n" +
				"Example:\n  bulrushshelf-ctl --store http://10.0.0.5:9400 --balancer 10.0.0.1:7300 --key-file key drain dk-east-a-dispatch-1 --wait", &drainCommand{app: a}},
		{"request", "send an HTTP request through the balancers",
			"Acts as one caller and the fabric: sends the request once, each packet to a random balancer, and prints the response. Exits with 1 when the request was not run, with 3 when no connection was opened, and with 4 when it may have run. --timeout bounds the whole request.\n\n" +
				"Example:\n  bulrushshelf-ctl request --fabric 10.0.0.1:7000 --fabric 10.0.0.2:7000 --return 10.0.0.9:7001 http://10.80.0.1:80/", &requestCommand{app: a}},
	}
}

// Run runs one command and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	return runApp(&app{ctx: ctx, out: out, errOut: errOut}, args)
}

func runApp(a *app, args []string) int {
	p := flags.NewNamedParser("bulrushshelf-ctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Operators' command of bulrushshelf.\n\n" + exitCodes
	if _, err := p.AddGroup("Common options", "", &a.globals); err != nil {
		return a.fail(trace.Wrap(err))
	}
	for _, c := range a.commands() {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return a.fail(trace.Wrap(err))
		}
	}
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return exitf(ExitUsage, "unexpected argument %q", rest[0])
		}
		return c.Execute(nil)
	}
	_, err := p.ParseArgs(args)
	return a.fail(err)
}

// fail prints an error and returns its exit code.
func (a *app) fail(err error) int {
	var usage *flags.Error
	var coded *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, usage.Message)
		return ExitOK
	case errors.As(err, &coded):
		fmt.Fprintln(a.errOut, "bulrushshelf-ctl:", coded.err)
		return coded.code
	case errors.As(err, &usage):
		fmt.Fprintln(a.errOut, "bulrushshelf-ctl:", usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(a.errOut, "bulrushshelf-ctl:", err)
	return ExitRefused
}

// print writes v as JSON or calls human.
func (a *app) print(v any, human func()) error {
	if !a.JSON {
		human()
		return nil
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(v))
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.out, format, args...) }
func (a *app) warnf(format string, args ...any) {
	fmt.Fprintf(a.errOut, "warning: "+format+"\n", args...)
}

func (a *app) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.Timeout)
}

func (a *app) storeClient() (*storeclient.Client, error) {
	if a.Store == "" {
		return nil, exitf(ExitUsage, "the flag --store or BULRUSHSHELF_STORE is needed")
	}
	c, err := storeclient.New(storeclient.Options{URL: a.Store, Seed: uint64(time.Now().UnixNano()), Transport: a.platform.Transport})
	if err != nil {
		return nil, exit(ExitUsage, err)
	}
	return c, nil
}

// storeError gives the error of a store call its exit code.
func storeError(err error) error {
	switch storeclient.KindOf(err) {
	case storeclient.Lost, storeclient.Unavailable, storeclient.RateLimited:
		return exit(ExitUnavailable, err)
	}
	return exit(ExitRefused, err)
}
