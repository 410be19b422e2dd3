package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func startTarget(t *testing.T, o Options) (*Target, string) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	o.Listener = ln
	tg, err := New(o)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- tg.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended)
	})
	return tg, tg.URL().String()
}

func send(t *testing.T, method, url, body string, header ...string) (int, http.Header, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	is.New(t).NoErr(err)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	is.New(t).NoErr(err)
	defer resp.Body.Close()
	got, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(got)
}

// Guards against runs that are not recorded by key, and against shed requests
// that are recorded as runs.
func TestGoldenRunsAndSheds(t *testing.T) {
	is := is.New(t)
	tg, url := startTarget(t, Options{Slots: 1})
	for range 2 {
		status, _, body := send(t, "POST", url+"/confirm", "step", headerKey, "k")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "confirmed step\n")
	}
	is.Equal(tg.RunsByKey(), map[string]int{"k": 2})
	tg.SetShedding(true)
	status, h, _ := send(t, "POST", url+"/confirm", "step", headerKey, "k2")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(h.Get(headerOutcome), "not-run")
	tg.SetShedding(false)
	status, _, _ = send(t, "POST", url+"/confirm?work=5000", "", headerDeadline, "20", headerKey, "k3")
	is.Equal(status, http.StatusGatewayTimeout)
	is.Equal(tg.Counts(), Counts{Runs: 3, Shed: 1, PeakBusy: 1})
	is.Equal(tg.Runs()[2].Status, Expired)
}

// Guards against accepting an upload that was altered in transit.
func TestGoldenUploadDigest(t *testing.T) {
	is := is.New(t)
	_, url := startTarget(t, Options{})
	big := string(bytes.Repeat([]byte("photo"), 100000))
	status, _, answer := send(t, "POST", url+"/upload", big)
	is.Equal(status, http.StatusOK)
	digest := strings.Fields(answer)[1]
	status, _, _ = send(t, "POST", url+"/upload", big, "Content-Digest", digest)
	is.Equal(status, http.StatusOK)
	status, _, _ = send(t, "POST", url+"/upload", big+"x", "Content-Digest", digest)
	is.Equal(status, http.StatusBadRequest)
}

// Guards against a drain that ends a feed or accepts new requests, and against
// accurate reports from a target configured to give false or stale ones.
func TestFaultDrainAndMisleadingReports(t *testing.T) {
	is := is.New(t)
	lagging, lagURL := startTarget(t, Options{Slots: 2, Report: ReportLagging, Lag: time.Hour})
	idle, idleURL := startTarget(t, Options{Slots: 2, Report: ReportIdle})
	_, busyURL := startTarget(t, Options{Slots: 2, Report: ReportBusy})
	accurate, url := startTarget(t, Options{Slots: 2})
	feed, err := http.Get(url + "/feed?every=1")
	is.NoErr(err)
	defer feed.Body.Close()
	for _, tg := range []*Target{lagging, idle, accurate} {
		tg.Drain()
	}
	health := func(url string) int { status, _, _ := send(t, "GET", url+"/health", ""); return status }
	is.Equal(health(url), http.StatusServiceUnavailable)
	is.Equal(health(lagURL), http.StatusOK)
	is.Equal(health(idleURL), http.StatusOK)
	is.Equal(health(busyURL), http.StatusServiceUnavailable)
	status, _, _ := send(t, "GET", url+"/list", "")
	is.Equal(status, http.StatusServiceUnavailable)
	_, err = io.ReadFull(feed.Body, make([]byte, 40)) // the feed continues
	is.NoErr(err)
	_, _, load := send(t, "GET", url+"/load", "")
	is.Equal(load, `{"slots":2,"busy":0,"feeds":1,"draining":true}`+"\n")
}

// Guards against serving connections beyond the limit.
func TestFaultConnectionLimit(t *testing.T) {
	is := is.New(t)
	tg, url := startTarget(t, Options{MaxConns: 1, ColdStart: time.Hour, ColdFactor: 2})
	feed, err := http.Get(url + "/feed?every=1")
	is.NoErr(err)
	_, err = http.Get(url + "/list")
	is.True(err != nil)
	is.True(tg.Counts().RefusedConns > 0)
	feed.Body.Close()
}
