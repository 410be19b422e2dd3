package steersim

import (
	"testing"
	"time"
)

// Guards against a configuration that is ignored, or reverted, after the store returns
// from a copy that lacks the last changes and assigns their revisions again.
func TestHistoryConfigurationAfterTheStoreIsRestored(t *testing.T) {
	for _, seed := range seeds {
		s := newSim(t, seed, 30, services)
		s.loss = 0.001
		s.run(5 * time.Second)
		backup := s.config
		for range 3 {
			s.changeConfig()
			s.run(propagationBound)
		}
		s.checkConfigInForce()
		last := s.config

		s.config = backup
		s.run(time.Second)
		for _, b := range s.balancers {
			if v := b.core.Config().Version; v != last.Version {
				s.fail("balancer %s went from version %d to %d", b.addr, last.Version, v)
			}
		}
		rewritten := *last
		rewritten.Revision = backup.Revision + 1
		s.config = &rewritten
		s.run(time.Second)
		s.changeConfig() // takes the revision after the backup a second time
		s.run(propagationBound)
		s.checkConfigInForce()
	}
}
