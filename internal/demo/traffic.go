package demo

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/bulrushshelf/bulrushshelf/internal/front"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/caller"
)

const (
	feedsPerTarget   = 20
	workersPerTarget = 2
	feedInterval     = 100 * time.Millisecond
	feedStallTimeout = 5 * time.Second // without an event; a few consecutive lost packets delay less
	uploadSize       = 60_000
	uploadEvery      = 5 // one request in uploadEvery is an upload
	workerDelay      = 40 * time.Millisecond
	requestTimeout   = 20 * time.Second
	maxAttempts      = 8
	resendDelay      = 250 * time.Millisecond
	requestDeadline  = "8000" // ms
)

// traffic runs the callers and records their results.
type traffic struct {
	c    *Cluster
	stop context.CancelFunc
	wg   sync.WaitGroup

	feedsOpen, feedsOpened, feedsBroken   atomic.Int64
	requests, uploads, sends, notFinished atomic.Int64

	mu        sync.Mutex
	refusedBy map[string]int
	broken    []string
	results   map[string]keyResult
	callers   []*caller.Caller
}

// keyResult is the final outcome of a key as its caller knows it.
type keyResult struct {
	service model.ServiceName
	outcome string
}

func startTraffic(c *Cluster) (*traffic, error) {
	ctx, stop := context.WithCancel(c.ctx)
	t := &traffic{c: c, stop: stop, refusedBy: map[string]int{}, results: map[string]keyResult{}}
	addr := netip.MustParseAddr("10.1.0.1")
	for _, svc := range c.Spec.Services {
		feeds, workers := svc.Targets*feedsPerTarget, svc.Targets*workersPerTarget
		for i := range feeds + workers {
			call, err := caller.New(c.Fabric, addr)
			if err != nil {
				return nil, err
			}
			addr = addr.Next()
			t.callers = append(t.callers, call)
			if i < feeds {
				t.wg.Go(func() { t.runFeed(ctx, call, svc) })
			} else {
				t.wg.Go(func() { t.sendRequests(ctx, call, svc, i%2 == 0) })
			}
		}
	}
	return t, nil
}

// stopAndWait stops the callers and waits for them.
func (t *traffic) stopAndWait() {
	t.stop()
	t.wg.Wait()
	for _, c := range t.callers {
		c.Close()
	}
}

func (t *traffic) recordBroken(format string, args ...any) {
	t.feedsBroken.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.broken) < 20 {
		t.broken = append(t.broken, fmt.Sprintf(format, args...))
	}
}

// runFeed keeps a feed open until ctx is done and checks that no event is missing
// and that the feed does not stall.
func (t *traffic) runFeed(ctx context.Context, c *caller.Caller, svc ServiceSpec) {
	url := fmt.Sprintf("http://%s%s?every=%d", svc.Addr, svc.FeedPath, feedInterval.Milliseconds())
	feedCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, _ := http.NewRequestWithContext(feedCtx, http.MethodGet, url, nil)
	resp, err := c.Client(false).Do(req)
	if err != nil {
		if ctx.Err() == nil {
			t.recordBroken("feed of %s from %s not opened: %v", svc.Name, c.Addr, err)
		}
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.recordBroken("feed of %s from %s answered with %s: %s", svc.Name, c.Addr, resp.Status, resp.Header.Get(front.HeaderReason))
		return
	}
	stalled := time.AfterFunc(feedStallTimeout, cancel)
	defer stalled.Stop()
	t.feedsOpened.Add(1)
	t.feedsOpen.Add(1)
	defer t.feedsOpen.Add(-1)
	lines := bufio.NewScanner(resp.Body)
	next := 0
	for lines.Scan() {
		line := lines.Text()
		if line == "" {
			continue
		}
		if want := fmt.Sprintf("data: %d", next); line != want {
			t.recordBroken("feed of %s from %s: got %q, want %q", svc.Name, c.Addr, line, want)
			return
		}
		next++
		stalled.Reset(feedStallTimeout)
	}
	switch {
	case ctx.Err() != nil:
	case feedCtx.Err() != nil:
		t.recordBroken("feed of %s from %s received no event for %v after %d events", svc.Name, c.Addr, feedStallTimeout, next)
	default:
		t.recordBroken("feed of %s from %s ended after %d events: status %d, %v", svc.Name, c.Addr, next, resp.StatusCode, lines.Err())
	}
}

// sendRequests sends confirmations and uploads until ctx is done. Each has a key,
// with which it is sent again while its outcome is unknown.
func (t *traffic) sendRequests(ctx context.Context, c *caller.Caller, svc ServiceSpec, keepAlive bool) {
	client := c.Client(keepAlive)
	client.Timeout = requestTimeout
	for n := 0; ctx.Err() == nil; n++ {
		key := uuid.Must(uuid.NewV7()).String()
		body, path := "step "+key, svc.WorkPath
		if n%uploadEvery == 0 {
			body, path = strings.Repeat("x", uploadSize), "/upload"
			t.uploads.Add(1)
		}
		t.requests.Add(1)
		outcome := t.sendUntilKnown(client, fmt.Sprintf("http://%s%s", svc.Addr, path), key, body)
		t.mu.Lock()
		t.results[key] = keyResult{service: svc.Name, outcome: outcome}
		t.mu.Unlock()
		if outcome != "ran" {
			t.notFinished.Add(1)
		}
		time.Sleep(workerDelay)
	}
}

// sendUntilKnown sends a keyed request until it has run or maxAttempts is reached,
// and returns the last known outcome.
func (t *traffic) sendUntilKnown(client *http.Client, url, key, body string) string {
	outcome := "unknown"
	for range maxAttempts {
		t.sends.Add(1)
		status, got, reason := t.send(client, url, key, body)
		if status == http.StatusOK {
			return "ran"
		}
		t.mu.Lock()
		t.refusedBy[reason]++
		t.mu.Unlock()
		if got == "unknown" && status != http.StatusConflict && status != 0 {
			return got // another attempt cannot determine the outcome
		}
		outcome = got
		time.Sleep(resendDelay)
	}
	return outcome
}

// send sends a request once. Status 0 means that no complete response arrived.
func (t *traffic) send(client *http.Client, url, key, body string) (status int, outcome, reason string) {
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	req.GetBody = nil // prevents net/http from sending the request again
	req.Header.Set(front.HeaderIdempotencyKey, key)
	req.Header.Set(front.HeaderDeadline, requestDeadline)
	sum := sha256.Sum256([]byte(body))
	req.Header.Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "unknown", "no answer"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "unknown", "answer cut"
	}
	if resp.StatusCode == http.StatusOK && len(body) < uploadSize && strings.TrimSpace(string(answer)) != "confirmed "+body {
		t.recordBroken("wrong response to %s: %.60q", key, answer)
	}
	return resp.StatusCode, resp.Header.Get(front.HeaderOutcome), resp.Header.Get(front.HeaderReason)
}
