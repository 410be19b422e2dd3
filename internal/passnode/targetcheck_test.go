package passnode

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// flowStatus returns what the agent answers about a flow that it has not seen.
func flowStatus(a *Agent) steerwire.FlowStatus {
	var status steerwire.FlowStatus
	loopback := netip.MustParseAddrPort("127.0.0.1:1")
	query := steerwire.Query{Queries: []steerwire.QueryEntry{{Flow: model.Flow{Src: loopback, Dst: loopback}}}}
	_ = a.loop.call(context.Background(), func(now time.Time) {
		for _, x := range a.core.Message(now, loopback, steerwire.Message{Kind: steerwire.KindHolderQuery, Query: query}, segment.Segment{}) {
			for _, answer := range x.Message.Answer.Answers {
				status = answer.FlowStatus
			}
		}
	})
	return status
}

func TestFaultHealthChecksAreRefused(t *testing.T) {
	const interval = 100 * time.Millisecond
	for _, test := range []struct {
		name    string
		running bool // sends heartbeats
		status  steerwire.FlowStatus
		state   steerwire.TargetState // after the stop
	}{
		{"running target", true, steerwire.Unsure, steerwire.TargetReady},
		{"no target", false, steerwire.NotHeld, steerwire.TargetGone},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(store.New(store.Options{}))
			t.Cleanup(func() { go server.Close() })
			m, err := telemetry.NewMetrics("test")
			is.NoErr(err)
			client, err := storeclient.New(storeclient.Options{URL: server.URL, Counter: m})
			is.NoErr(err)
			anyPort := netip.MustParseAddrPort("127.0.0.1:0")
			a, err := NewAgent(AgentOptions{
				Core:     passthrough.Options{Service: "s", HeartbeatInterval: interval, FlowIdleTimeout: time.Minute},
				PeerAddr: anyPort, LocalAddr: anyPort, TargetAddr: anyPort, Store: client, Metrics: m, Logger: log.New(io.Discard),
				CheckTarget: func(context.Context) (passthrough.Health, error) {
					return passthrough.NotRunning, errors.New("connection refused")
				},
			})
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- a.Run(ctx, context.Background()) }()
			alive, exit := context.WithCancel(context.Background())
			defer exit()
			go func() {
				for n := uint64(1); test.running && alive.Err() == nil; n++ {
					time.Sleep(interval)
					_, _ = a.HandleHeartbeat(alive, passthrough.Heartbeat{Target: "t", Service: "s", Slots: 1, Sequence: n}) // fails at the end
				}
			}()
			time.Sleep(interval / 2)
			is.Equal(flowStatus(a), steerwire.Unsure) // one refused check shows nothing
			time.Sleep(4 * interval)
			is.Equal(flowStatus(a), test.status)
			cancel()
			is.NoErr(<-ended)
			is.Equal(a.core.State(), test.state)
		})
	}
}
