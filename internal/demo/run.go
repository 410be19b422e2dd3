package demo

import (
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	entryBalancers = 2
	weightChanges  = 10
	maxChangeTime  = 3 * time.Second // promised time until a change is in effect on all balancers
	drainWait      = 2 * time.Second // wait before new flows at the drained target are counted, and time of the count
	warmupTime     = 2 * time.Second // traffic before the first change
)

// Options are the options of a run.
type Options struct {
	Deployment string
	Seed       uint64
	Logger     *log.Logger
	Progress   func(format string, args ...any)
}

// Run runs the demonstration and returns its report. Broken promises are in the
// report; an error means that the demonstration could not be completed.
func Run(o Options) (*Report, error) {
	spec, err := Deployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	c, err := NewCluster(spec, o.Seed, o.Logger)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer c.Close()
	o.Progress("starting %d balancers and the targets of %s", entryBalancers, spec.Name)
	if err := c.StartAll(entryBalancers); err != nil {
		return nil, err
	}
	c.Fabric.SetFaults(spec.fabricFaults())
	time.Sleep(time.Until(c.keysOpenAt))
	t, err := startTraffic(c)
	if err != nil {
		return nil, err
	}
	r := &Report{Deployment: spec.Name, Seed: o.Seed}
	err = r.runChanges(c, t, o.Progress)
	r.collectLoads(c)
	t.stopAndWait()
	r.collectResults(c, t)
	r.Seconds = time.Since(start).Seconds()
	return r, err
}

// runChanges makes all planned changes while traffic is running.
func (r *Report) runChanges(c *Cluster, t *traffic, progress func(string, ...any)) error {
	time.Sleep(warmupTime)
	progress("%d feeds open, %d requests so far", t.feedsOpen.Load(), t.requests.Load())
	if err := r.toggleWeight(c, progress); err != nil {
		return err
	}
	if err := r.replaceBalancers(c, progress); err != nil {
		return err
	}
	if err := r.drainTarget(c, progress); err != nil {
		return err
	}
	progress("%d feeds open, %d broken, %d requests so far", t.feedsOpen.Load(), t.feedsBroken.Load(), t.requests.Load())
	return nil
}

// toggleWeight repeatedly sets the weight of one target by a decision file and
// removes the file.
func (r *Report) toggleWeight(c *Cluster, progress func(string, ...any)) error {
	id, _ := c.Spec.targetName(c.Spec.Services[0], 0)
	const file = "50-weight.yaml"
	for i := range weightChanges {
		progress("reversal %d of %d", i+1, weightChanges)
		err := r.applyChange(c, func() error {
			if i%2 == 1 {
				return c.Remove(file)
			}
			return c.Put(file, fmt.Sprintf("target: %s\nweight: 0.5\n", id))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// applyChange makes one change and waits until it is in effect on all balancers.
func (r *Report) applyChange(c *Cluster, apply func() error) error {
	before := c.newestRevision()
	start := time.Now()
	if err := apply(); err != nil {
		return err
	}
	for c.oldestRevision() <= before {
		if time.Since(start) > 2*maxChangeTime {
			return trace.LimitExceeded("a configuration change was not in effect after %v", time.Since(start))
		}
		time.Sleep(pollInterval)
	}
	r.Changes++
	r.SlowestChange = max(r.SlowestChange, time.Since(start).Seconds())
	return nil
}

// replaceBalancers replaces each balancer by a new one.
func (r *Report) replaceBalancers(c *Cluster, progress func(string, ...any)) error {
	for i, old := range append([]*BalancerProc(nil), c.balancers...) {
		id := model.NodeID(fmt.Sprintf("%s-entry-%d", c.Spec.DCs[i], entryBalancers+1+i))
		progress("replacing balancer %s by %s", old.id, id)
		if _, err := c.StartBalancer(id, c.Spec.DCs[i]); err != nil {
			return err
		}
		if err := c.WaitReady(); err != nil {
			return err
		}
		c.StopBalancer(old, false)
	}
	return nil
}

// drainTarget drains a target by a decision file and counts the new flows that it
// still gets.
func (r *Report) drainTarget(c *Cluster, progress func(string, ...any)) error {
	var drained *AgentProc
	for _, a := range c.agents {
		if a.Service == c.Spec.Services[0].Name && drained == nil {
			drained = a
		}
	}
	progress("draining target %s", drained.ID)
	err := r.applyChange(c, func() error { return c.Put("60-drain.yaml", fmt.Sprintf("target: %s\ndrain: true\n", drained.ID)) })
	if err != nil {
		return err
	}
	time.Sleep(drainWait)
	before := drained.OpenedFlows()
	time.Sleep(drainWait)
	r.NewAtDrained = int(drained.OpenedFlows() - before)
	return nil
}

// newestRevision returns the newest revision in effect on any balancer.
func (c *Cluster) newestRevision() uint64 {
	var newest uint64
	c.eachRevision(func(rev uint64) { newest = max(newest, rev) })
	return newest
}

// oldestRevision returns the oldest revision in effect on any balancer.
func (c *Cluster) oldestRevision() uint64 {
	oldest := ^uint64(0)
	c.eachRevision(func(rev uint64) { oldest = min(oldest, rev) })
	return oldest
}

func (c *Cluster) eachRevision(visit func(rev uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.balancers {
		if state, ok := b.State(c.ctx); ok {
			visit(state.Rev)
		}
	}
}

// collectLoads records the distribution of open flows over the targets that are not
// draining.
func (r *Report) collectLoads(c *Cluster) {
	for _, svc := range c.Spec.Services {
		load := ServiceLoad{Service: svc.Name}
		sum, most := 0, 0
		for _, a := range c.agents {
			if a.Service == svc.Name && !a.Draining() {
				load.Flows = append(load.Flows, a.Flows())
				sum += a.Flows()
				most = max(most, a.Flows())
			}
		}
		if sum > 0 {
			load.MaxMean = float64(most) * float64(len(load.Flows)) / float64(sum)
		}
		r.ServiceLoads = append(r.ServiceLoads, load)
	}
}

// collectResults records the callers' results and checks the promises.
func (r *Report) collectResults(c *Cluster, t *traffic) {
	r.FeedsOpened, r.FlowsBroken = t.feedsOpened.Load(), t.feedsBroken.Load()
	r.Requests, r.Uploads, r.Sends = t.requests.Load(), t.uploads.Load(), t.sends.Load()
	r.NotFinished, r.RefusedBy = t.notFinished.Load(), t.refusedBy
	r.Counters = make(map[string]uint64)
	for key, n := range c.metrics.Totals() {
		r.Counters[key.Name+"/"+key.Reason] = n
	}
	r.checkPromises(c, t)
	r.BrokenPromises = append(r.BrokenPromises, t.broken...)
}
