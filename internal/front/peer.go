package front

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/admission"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Header fields of requests that one agent moves to another.
const (
	headerPeer        = "Bulrushshelf-Peer"
	headerReservation = "Bulrushshelf-Reservation"
	headerSent        = "Bulrushshelf-Sent" // Unix time in ms
	headerNonce       = "Bulrushshelf-Nonce"
	headerMAC         = "Bulrushshelf-Mac"
)

const (
	// moveWindow is the largest accepted difference between the send time of a moved
	// request and the local clock. It covers two clocks that are wrong by 20 s in opposite
	// directions.
	moveWindow = time.Minute
	// maxClockStep bounds how far the local clock goes back after a moved request.
	maxClockStep = 40 * time.Second
	// nonceLifetime is how long a moved request may still be within moveWindow.
	nonceLifetime = 2*moveWindow + maxClockStep
	// maxNonces is the capacity of the nonce cache. It is reached at 1,000 moved requests
	// per second.
	maxNonces = 160000
)

// signMoved adds the header fields that authenticate a moved request. The MAC covers the
// fields in movedMAC. It does not cover the body, which is streamed.
func (f *Front) signMoved(r *http.Request, reservation uint64) {
	var nonce [16]byte
	_, _ = rand.Read(nonce[:]) // never fails
	r.Header.Set(headerPeer, string(f.opts.Self))
	r.Header.Set(headerReservation, strconv.FormatUint(reservation, 10))
	r.Header.Set(headerSent, strconv.FormatInt(f.opts.Now().UnixMilli(), 10))
	r.Header.Set(headerNonce, hex.EncodeToString(nonce[:]))
	if keys := f.macKeys(); len(keys) > 0 {
		r.Header.Set(headerMAC, hex.EncodeToString(movedMAC(keys[0], f.opts.Service, r)))
	}
}

// movedMAC returns the MAC of a moved request.
func movedMAC(key []byte, service model.ServiceName, r *http.Request) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("bulrushshelf moved request 1\n"))
	for _, part := range []string{
		string(service), r.Method, r.URL.RequestURI(), r.Host,
		r.Header.Get(headerPeer), r.Header.Get(headerReservation), r.Header.Get(headerSent),
		r.Header.Get(headerNonce), r.Header.Get(HeaderDeadline),
	} {
		fmt.Fprintf(h, "%d:%s\n", len(part), part)
	}
	return h.Sum(nil)
}

func (f *Front) macKeys() [][]byte {
	if f.opts.MACKeys == nil {
		return nil
	}
	return f.opts.MACKeys()
}

// verifyMoved returns the reason for refusing a moved request, or "" if it is valid.
func (f *Front) verifyMoved(r *http.Request) string {
	mac, err := hex.DecodeString(r.Header.Get(headerMAC))
	if err != nil || len(mac) == 0 {
		return "mac_missing"
	}
	valid := false
	for _, key := range f.macKeys() {
		valid = valid || hmac.Equal(mac, movedMAC(key, f.opts.Service, r))
	}
	if !valid {
		return "mac_wrong"
	}
	now := f.opts.Now()
	ms, err := strconv.ParseInt(r.Header.Get(headerSent), 10, 64)
	if age := now.Sub(time.UnixMilli(ms)); err != nil || age > moveWindow || age < -moveWindow {
		return "mac_expired"
	}
	return f.nonces.checkAndAdd(now, r.Header.Get(headerPeer)+" "+r.Header.Get(headerNonce))
}

// servePeer serves a request that another agent moved here.
func (f *Front) servePeer(w http.ResponseWriter, r *http.Request) {
	if reason := f.verifyMoved(r); reason != "" {
		f.refuseNotRun(w, http.StatusForbidden, reason, 0)
		return
	}
	reservation, _ := strconv.ParseUint(r.Header.Get(headerReservation), 10, 64) // covered by the MAC
	f.serveRequest(w, r, admission.Arrive{
		Moved: true, From: model.NodeID(r.Header.Get(headerPeer)), Reservation: reservation,
	})
}

// peerAddr returns the address to which requests for a peer are moved.
func (f *Front) peerAddr(id model.NodeID) (netip.AddrPort, bool) {
	if f.opts.RequestAddr != nil {
		return f.opts.RequestAddr(id)
	}
	for _, m := range f.view.Load().Members {
		if m.ID == id {
			return m.RequestAddr, m.RequestAddr.IsValid()
		}
	}
	return netip.AddrPort{}, false
}

// nonceCache stores the nonces of moved requests for nonceLifetime, so that no request is
// accepted twice.
type nonceCache struct {
	mu    sync.Mutex
	seen  map[string]bool
	order []nonceEntry
}

type nonceEntry struct {
	nonce      string
	receivedAt time.Time
}

func newNonceCache() *nonceCache { return &nonceCache{seen: make(map[string]bool)} }

// checkAndAdd adds a nonce. It returns the reason for refusing the request, or "".
func (c *nonceCache) checkAndAdd(now time.Time, nonce string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := 0
	for expired < len(c.order) && now.Sub(c.order[expired].receivedAt) > nonceLifetime {
		delete(c.seen, c.order[expired].nonce)
		expired++
	}
	c.order = c.order[expired:]
	switch {
	case c.seen[nonce]:
		return "mac_replayed"
	case len(c.order) >= maxNonces:
		return "mac_cache_full" // evicting a nonce could let a replayed request run
	}
	c.seen[nonce] = true
	c.order = append(c.order, nonceEntry{nonce, now})
	return ""
}
