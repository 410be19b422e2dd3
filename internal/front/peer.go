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

// Header fields of a request that one agent moves to another.
const (
	headerPeer        = "Bulrushshelf-Peer"
	headerReservation = "Bulrushshelf-Reservation"
	headerSent        = "Bulrushshelf-Sent" // Unix time in ms
	headerNonce       = "Bulrushshelf-Nonce"
	headerMAC         = "Bulrushshelf-Mac"
)

const (
	// moveWindow is the age up to which a moved request is accepted; it covers
	// the clock skew between two agents.
	moveWindow = 30 * time.Second
	// maxNonces bounds the memory against replays: 2,000 moved requests a second.
	maxNonces = 60000
)

// signMoved adds the fields that authenticate a moved request. The MAC covers
// its header fields that matter here; the body streams and is not covered.
func (f *Front) signMoved(r *http.Request, reservation uint64) {
	var nonce [16]byte
	_, _ = rand.Read(nonce[:]) // never fails
	r.Header.Set(headerPeer, string(f.o.Self))
	r.Header.Set(headerReservation, strconv.FormatUint(reservation, 10))
	r.Header.Set(headerSent, strconv.FormatInt(f.o.Now().UnixMilli(), 10))
	r.Header.Set(headerNonce, hex.EncodeToString(nonce[:]))
	if keys := f.macKeys(); len(keys) > 0 {
		r.Header.Set(headerMAC, hex.EncodeToString(movedMAC(keys[0], f.o.Service, r)))
	}
}

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
	if f.o.MACKeys == nil {
		return nil
	}
	return f.o.MACKeys()
}

// verifyMoved returns why a moved request is not accepted, or "".
func (f *Front) verifyMoved(r *http.Request) string {
	mac, err := hex.DecodeString(r.Header.Get(headerMAC))
	if err != nil || len(mac) == 0 {
		return "mac_missing"
	}
	valid := false
	for _, key := range f.macKeys() {
		valid = valid || hmac.Equal(mac, movedMAC(key, f.o.Service, r))
	}
	if !valid {
		return "mac_wrong"
	}
	now := f.o.Now()
	ms, err := strconv.ParseInt(r.Header.Get(headerSent), 10, 64)
	if age := now.Sub(time.UnixMilli(ms)); err != nil || age > moveWindow || age < -moveWindow {
		return "mac_expired"
	}
	return f.nonces.add(now, r.Header.Get(headerPeer)+" "+r.Header.Get(headerNonce))
}

// servePeer serves a request that another agent moved here.
func (f *Front) servePeer(w http.ResponseWriter, r *http.Request) {
	if why := f.verifyMoved(r); why != "" {
		f.refuse(w, http.StatusForbidden, why, 0)
		return
	}
	reservation, _ := strconv.ParseUint(r.Header.Get(headerReservation), 10, 64) // covered by the MAC
	f.serveRequest(w, r, admission.Arrive{
		Moved: true, From: model.NodeID(r.Header.Get(headerPeer)), Reservation: reservation,
	})
}

// peerAddr returns the address for requests moved to a peer.
func (f *Front) peerAddr(id model.NodeID) (netip.AddrPort, bool) {
	if f.o.RequestAddr != nil {
		return f.o.RequestAddr(id)
	}
	for _, m := range f.view.Load().Members {
		if m.ID == id {
			return m.RequestAddr, m.RequestAddr.IsValid()
		}
	}
	return netip.AddrPort{}, false
}

// nonceCache remembers moved requests for twice the window, so that none is
// accepted a second time.
type nonceCache struct {
	mu    sync.Mutex
	seen  map[string]bool
	order []nonceEntry
}

type nonceEntry struct {
	nonce string
	at    time.Time
}

func newNonceCache() *nonceCache { return &nonceCache{seen: make(map[string]bool)} }

func (c *nonceCache) add(now time.Time, nonce string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := 0
	for old < len(c.order) && now.Sub(c.order[old].at) > 2*moveWindow {
		delete(c.seen, c.order[old].nonce)
		old++
	}
	c.order = c.order[old:]
	switch {
	case c.seen[nonce]:
		return "mac_replayed"
	case len(c.order) >= maxNonces:
		return "mac_cache_full" // forgetting one could run a request twice
	}
	c.seen[nonce] = true
	c.order = append(c.order, nonceEntry{nonce, now})
	return ""
}
