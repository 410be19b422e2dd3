// Command _standin plays the cases of the review: it starts the project's processes with
// stand-ins of clients, hosts and the platform around them, and judges what these see.
package main

import (
	"fmt"
	"os"
	"time"
)

// scenario plays one case. trouble is false if the disruption is to be left out.
type scenario struct {
	balancers, agents int
	prepare           func(d *deployment) error // before the processes start, may be nil
	play              func(d *deployment, trouble bool)
}

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(s scenario, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("trouble: %t", trouble)
	time.AfterFunc(timeLimit, func() {
		rec.note("could not run: not done after %v", timeLimit)
		os.Exit(2) // the processes end with this one
	})
	d, err := newDeployment(rec, s.balancers, s.agents)
	if err != nil {
		rec.note("could not run: %v", err)
		return 2
	}
	defer d.stopAll()
	if s.prepare != nil {
		err = s.prepare(d)
	}
	if err == nil {
		err = d.startAll()
	}
	if err != nil {
		rec.note("could not run: %v", err)
		return 2
	}
	s.play(d, trouble)
	return rec.finish()
}

// users opens n flows and sends a request on each every pause until stop is closed. It
// returns a function that waits for their end.
func (d *deployment) users(n int, pause, budget time.Duration, stop <-chan struct{}) (wait func()) {
	done := make(chan struct{}, n)
	for i := range n {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(time.Duration(i) * pause / time.Duration(n))
			var f *flow
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				if f == nil {
					if f = d.clients[0].open(); f == nil {
						d.rec.note("a flow did not open")
						continue
					}
				}
				if f.request(budget) != "answered" {
					f = nil
				}
			}
		}()
	}
	return func() {
		for range n {
			<-done
		}
	}
}
