// Command review-2 plays the cases of the second review against the programs of the
// deploy file, with stand-ins of the platform, the hosts and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case.
const maxRun = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken, and what was seen.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, seen string){
	"dropped-route": droppedRoute,
	"reset-flow":    resetFlow,
	"cold-restart":  coldRestart,
	"cold-addition": coldAddition,
	"cold-zone":     coldZone,
}

// current is the deployment of the case, for the clean-up.
var current *world

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- play(rec, os.Args[1], os.Getenv("TROUBLE") != "0") }()
	code := exitNotRun
	select {
	case code = <-done:
	case <-stop:
	case <-time.After(maxRun):
		fmt.Println("not run: the case took too long")
	}
	if current != nil {
		current.stop()
	}
	os.Exit(code)
}

// failure is the reason for which a case could not run.
type failure struct{ err error }

func check(err error) {
	if err != nil {
		panic(failure{err})
	}
}

func play(rec *recorder, name string, trouble bool) (code int) {
	defer func() {
		if f, ok := recover().(failure); ok {
			rec.add("not run: %v", f.err)
			fmt.Println("not run:", f.err)
			code = exitNotRun
		}
	}()
	broken, seen := cases[name](rec, trouble)
	rec.add("broken: %v; %s", broken, seen)
	fmt.Printf("broken: %v; %s\n", broken, seen)
	if broken {
		return exitBroken
	}
	return exitHeld
}
