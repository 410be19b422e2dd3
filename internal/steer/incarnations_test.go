package steer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against reports that are ignored without a trace.
func TestIgnoredReportIsLogged(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	report(c, ms(5), agentA, steerwire.Report{Incarnation: 7, Sequence: 1, State: steerwire.TargetReady})
	late := steerwire.Report{Incarnation: 6, Sequence: 1, State: steerwire.TargetReady}
	is.True(logged(report(c, ms(1200), agentA, late), "report_ignored"))
	late.Sequence++
	is.True(!logged(report(c, ms(1300), agentA, late), "report_ignored"))
	late.Sequence++
	is.True(logged(report(c, ms(2300), agentA, late), "report_ignored"))
}
