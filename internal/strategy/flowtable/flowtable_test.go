package flowtable

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

func flow(i int) model.Flow {
	return model.Flow{Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, 1}), uint16(i)), Proto: model.TCP}
}

// Guards against a table that grows beyond its limit, evicts a flow other than
// the oldest, or counts a flow twice.
func TestOldestFlowIsReplaced(t *testing.T) {
	is := is.New(t)
	table := New(3)
	steps := []struct {
		do   func()
		want [6]model.NodeID // target of each flow; empty if the flow is unknown
	}{
		{func() { table.Assign(flow(0), "a"); table.Assign(flow(1), "b"); table.Assign(flow(2), "a") }, [6]model.NodeID{"a", "b", "a"}},
		{func() { table.Assign(flow(0), "c") }, [6]model.NodeID{"c", "b", "a"}},
		{func() { table.Assign(flow(3), "b") }, [6]model.NodeID{"", "b", "a", "b"}},
		{func() { table.RemoveTarget("a") }, [6]model.NodeID{"", "b", "", "b"}},
		{func() { table.Assign(flow(4), "d"); table.Assign(flow(5), "d") }, [6]model.NodeID{"", "", "", "b", "d", "d"}},
	}
	for _, s := range steps {
		s.do()
		n := 0
		for i, want := range s.want {
			got, ok := table.Target(flow(i))
			is.Equal(got, want)
			is.Equal(ok, want != "")
			if ok {
				n++
			}
		}
		is.Equal(table.Len(), n)
	}
}
