package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/target"
	"github.com/matryer/is"
)

// fixedHomes is a keys.Homes whose homes of every key are the first two members.
type fixedHomes struct{ view model.ServiceView }

func (h *fixedHomes) Apply(_ time.Time, v model.ServiceView) { h.view = v }
func (h *fixedHomes) Settled(time.Time) bool                 { return len(h.view.Members) > 0 }
func (h *fixedHomes) Fingerprint() uint64                    { return h.view.Fingerprint() }
func (h *fixedHomes) HomeSets(time.Time, uint64, int) [][]model.NodeID {
	var set []model.NodeID
	for _, m := range h.view.Members[:min(2, len(h.view.Members))] {
		set = append(set, m.ID)
	}
	return [][]model.NodeID{set}
}

// keyedCluster starts agents whose homes grant all keys, each with a target that records its
// runs.
func keyedCluster(t *testing.T, agents int) (*cluster, []*target.Target) {
	t.Helper()
	is := is.New(t)
	var targets []*target.Target
	var urls []*url.URL
	for range agents {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		tg, err := target.New(target.Options{Listener: ln, Slots: 1})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- tg.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-ended })
		targets = append(targets, tg)
		urls = append(urls, tg.URL())
	}
	var clockOffset atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	opens := now().Add(time.Minute)
	c := newClusterWith(t, func(o *Options) { o.Homes, o.Now, o.KeysOpen = &fixedHomes{}, now, opens }, urls...)
	step := func() {
		for id, f := range c.fronts {
			eventually(t, "the view", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.updates == nil })
			f.Deliver(id, message.KeyDoneAck{})
			eventually(t, "a step", func() bool { return f.incoming.Len() == 0 })
		}
	}
	step()
	for range 61 { // each step is too short to be taken for a pause of the process
		clockOffset.Add(int64(time.Second))
		step()
	}
	return c, targets
}

func runsOf(targets []*target.Target, key string) (n int) {
	for _, tg := range targets {
		n += tg.RunsByKey()[key]
	}
	return n
}

// Guards against two runs of a key that is sent to several agents at once, and against a later
// attempt that does not get the complete answer of the run.
func TestHistoryKeySentToAllAgentsAtOnce(t *testing.T) {
	is := is.New(t)
	c, targets := keyedCluster(t, 3)
	for n := range 10 {
		key := fmt.Sprint("step-", n)
		var wg sync.WaitGroup
		var ran atomic.Int64
		for i := range 6 {
			wg.Go(func() {
				resp, body := do(t, "POST", c.urls[i%3]+"/confirm?work=20", key, HeaderIdempotencyKey, key)
				switch {
				case resp.StatusCode == http.StatusOK && body == "confirmed "+key+"\n":
					ran.Add(1)
				case resp.StatusCode != http.StatusConflict:
					t.Errorf("key %s: %d %s", key, resp.StatusCode, body)
				}
			})
		}
		wg.Wait()
		if runsOf(targets, key) > 1 {
			t.Errorf("key %s ran %d times", key, runsOf(targets, key))
		}
		for i := range 3 {
			eventually(t, "an answer", func() bool {
				resp, body := do(t, "POST", c.urls[i]+"/confirm?work=20", key, HeaderIdempotencyKey, key)
				return resp.StatusCode == http.StatusOK && resp.Header.Get(HeaderOutcome) == "ran" && body == "confirmed "+key+"\n"
			})
		}
		is.Equal(runsOf(targets, key), 1)
	}
	resp, _ := do(t, "POST", c.urls[0]+"/confirm?work=20", "another body", HeaderIdempotencyKey, "step-0")
	is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
}

// Guards against a key that stays in progress after its request was shed, and against a key
// that runs again after a run with an unknown outcome.
func TestFaultKeyAfterShedAndBrokenRun(t *testing.T) {
	is := is.New(t)
	c, targets := keyedCluster(t, 1)
	send := func(key, path, deadline string) *http.Response {
		resp, _ := do(t, "POST", c.urls[0]+path, "x", HeaderIdempotencyKey, key, HeaderDeadline, deadline)
		return resp
	}
	targets[0].SetShedding(true)
	resp := send("k1", "/confirm", "5000")
	is.Equal(resp.Header.Get(HeaderOutcome), "not-run")
	is.True(resp.Header.Get("Retry-After") != "")
	targets[0].SetShedding(false)
	eventually(t, "a run", func() bool { return send("k1", "/confirm", "5000").StatusCode == http.StatusOK })
	is.Equal(runsOf(targets, "k1"), 1)

	resp = send("k2", "/confirm?work=60000", "300")
	is.True(resp.Header.Get(HeaderOutcome) != "not-run")
	eventually(t, "an end", func() bool {
		return send("k2", "/confirm?work=60000", "300").StatusCode != http.StatusServiceUnavailable
	})
	for range 3 {
		is.True(send("k2", "/confirm?work=60000", "300").Header.Get(HeaderOutcome) != "not-run")
	}
	is.Equal(runsOf(targets, "k2"), 1)

	c.all[0].Leave()
	resp = send("k3", "/confirm", "5000")
	is.Equal(resp.Header.Get(HeaderReason), "leaving")
	is.Equal(runsOf(targets, "k3"), 0)
}
