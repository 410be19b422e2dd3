package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Report is the result of a run.
type Report struct {
	Deployment     string            `json:"deployment"`
	Seed           uint64            `json:"seed"`
	Seconds        float64           `json:"seconds"`
	FeedsOpened    int64             `json:"feeds_opened"`
	FlowsBroken    int64             `json:"flows_broken"`
	Requests       int64             `json:"requests"`
	Uploads        int64             `json:"uploads"`
	Sends          int64             `json:"sends"`
	RefusedBy      map[string]int    `json:"refused_by_reason"`
	NotFinished    int64             `json:"requests_not_finished"`
	RanTwice       int               `json:"requests_ran_twice"`
	FalseNotRun    int               `json:"requests_ran_but_told_not_run"`
	FalseRan       int               `json:"requests_told_ran_but_did_not"`
	WrongService   int               `json:"requests_at_wrong_service"`
	NewAtDrained   int               `json:"new_flows_at_drained_target"`
	Changes        int               `json:"configuration_changes"`
	SlowestChange  float64           `json:"slowest_change_seconds"`
	ServiceLoads   []ServiceLoad     `json:"service_loads"`
	Counters       map[string]uint64 `json:"counters"`
	BrokenPromises []string          `json:"broken_promises"`
}

// ServiceLoad is the distribution of open flows over the targets of a service.
type ServiceLoad struct {
	Service model.ServiceName `json:"service"`
	Flows   []int             `json:"flows"`
	MaxMean float64           `json:"max_over_mean"`
}

// checkPromises compares the runs recorded by the targets with the outcomes that
// the callers received, and records the broken promises.
func (r *Report) checkPromises(c *Cluster, t *traffic) {
	runs := map[string]int{}
	for _, a := range c.agents {
		for _, run := range a.Target.Runs() {
			if run.Key == "" {
				continue
			}
			runs[run.Key]++
			if t.results[run.Key].service != a.Service {
				r.WrongService++
			}
		}
	}
	for key, result := range t.results {
		switch n := runs[key]; {
		case n > 1:
			r.RanTwice++
		case n == 1 && result.outcome == "not-run":
			r.FalseNotRun++
		case n == 0 && result.outcome == "ran":
			r.FalseRan++
		}
	}
	expectNot := func(broken bool, format string, args ...any) {
		if broken {
			r.BrokenPromises = append(r.BrokenPromises, fmt.Sprintf(format, args...))
		}
	}
	expectNot(r.FlowsBroken > 0, "%d flows broken", r.FlowsBroken)
	expectNot(r.RanTwice > 0, "%d requests ran twice", r.RanTwice)
	expectNot(r.FalseNotRun > 0, "%d requests ran although the caller was told not-run", r.FalseNotRun)
	expectNot(r.FalseRan > 0, "%d requests did not run although the caller was told ran", r.FalseRan)
	expectNot(r.WrongService > 0, "%d requests at another service's target", r.WrongService)
	expectNot(r.NewAtDrained > 0, "%d new flows at a target that was drained", r.NewAtDrained)
	expectNot(r.SlowestChange > maxChangeTime.Seconds(), "a configuration change took %.2f s", r.SlowestChange)
	expectNot(r.Requests == 0 || r.FeedsOpened == 0, "no traffic: %d requests, %d feeds", r.Requests, r.FeedsOpened)
}

// Table writes the report as a table.
func (r *Report) Table(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(tw, "%s\t%v\n", name, value) }
	row("flows opened (feeds)", r.FeedsOpened)
	row("flows broken", r.FlowsBroken)
	row("requests", fmt.Sprintf("%d (%d uploads), sent %d times", r.Requests, r.Uploads, r.Sends))
	for _, reason := range slices.Sorted(maps.Keys(r.RefusedBy)) {
		row("  refused: "+reason, r.RefusedBy[reason])
	}
	row("requests not finished", r.NotFinished)
	row("requests run twice", r.RanTwice)
	row("requests at a wrong service", r.WrongService)
	row("new flows at a drained target", r.NewAtDrained)
	row("configuration changes", fmt.Sprintf("%d, slowest in force everywhere after %.2f s", r.Changes, r.SlowestChange))
	for _, l := range r.ServiceLoads {
		row(fmt.Sprintf("flows per target of %s", l.Service), fmt.Sprintf("%v, max/mean %.2f", l.Flows, l.MaxMean))
	}
	for _, p := range r.BrokenPromises {
		row("BROKEN PROMISE", p)
	}
	_ = tw.Flush()
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
