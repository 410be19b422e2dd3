// Package front is the agent's HTTP edge. It serves callers, asks the admission
// core whether a request runs here, moves to another agent or is refused, and
// forwards it to the target beside the agent.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/admission"
	"github.com/bulrushshelf/bulrushshelf/internal/keys"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/ring"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

const (
	// defaultMaxRequests bounds the requests in progress, feeds included.
	defaultMaxRequests = 4096
	// eventsPerRequest is more than the events a request can have in the ring at
	// once, so that the end of a request is never dropped.
	eventsPerRequest = 6
	// peerEvents bounds the peer messages waiting for the loop.
	peerEvents = 4096
	// headerTimeout bounds the time a caller takes to send a request's header.
	headerTimeout = 10 * time.Second
)

// Peers sends a message to another agent. It must not block.
type Peers interface {
	Send(to model.NodeID, m message.Message)
}

// Metrics counts events by reason; *telemetry.Metrics implements it.
type Metrics interface {
	Count(name, reason string, n int64)
}

// Options are the settings of a Front.
type Options struct {
	Self         model.NodeID
	Service      model.ServiceName
	Listener     net.Listener // callers
	PeerListener net.Listener // requests moved here by other agents; may be nil
	Target       *url.URL     // scheme http, host and port
	Slots        int
	Warmup       time.Duration // ramp of a target that just started; 0 is none
	MaxRequests  int           // requests in progress; 0 is 4,096
	Seed         uint64
	Peers        Peers // may be nil for an agent without peers
	// RequestAddr returns the address of a peer's PeerListener. If it is nil, the
	// address comes from the view.
	RequestAddr func(model.NodeID) (netip.AddrPort, bool)
	// Homes ranks the homes of idempotency keys. If it has an Apply method, as
	// placement.Table has, the loop gives it each view. The loop owns it. Without
	// Homes, keys have no effect and each send of a request runs at most once.
	Homes keys.Homes
	// KeysOpen is a time before which no request of the service can have run;
	// see keys.Options.Opens. Zero if there is none.
	KeysOpen time.Time
	// MACKeys returns the keys that authenticate moved requests. The first signs,
	// all of them verify, so that keys can be rotated.
	MACKeys func() [][]byte
	Metrics Metrics     // may be nil
	Logger  *log.Logger // may be nil
	Now     func() time.Time
	// ShutdownTimeout bounds the wait for requests in progress after the context
	// ended; 0 waits until the last one ends.
	ShutdownTimeout time.Duration
	// Kill cuts off the requests in progress when it ends; it may be nil.
	Kill context.Context
}

// Front serves the requests of one agent.
type Front struct {
	o        Options
	target   *http.Client
	peers    *http.Client
	nonces   *nonceCache
	idle     *idleConns
	nextID   atomic.Uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	drained  atomic.Bool // by a decision file
	stopping atomic.Bool
	view     atomic.Pointer[model.ServiceView]
	load     atomic.Pointer[model.Load]
	running  atomic.Int64

	events   *ring.Ring[requestEvent]
	incoming *ring.Ring[peerMessage]
	wake     chan struct{} // a view or the leave is new

	mu   sync.Mutex
	news []admission.Event // views and the leave; at most one of each

	// Owned by the loop.
	core     *admission.Core
	requests map[admission.RequestID]*request
	keys     *keys.Core // nil without Homes
	keyed    map[uint64]*request
}

// requestEvent is an event of one request. Arrivals and ends share one ring, so
// that the end of a request never overtakes its arrival.
type requestEvent struct {
	req *request // set on arrival
	ev  admission.Event
	key keys.Event
}

type peerMessage struct {
	from model.NodeID
	m    message.Message
}

// New returns a front that Run starts.
func New(o Options) (*Front, error) {
	if o.Listener == nil || o.Target == nil || o.Target.Host == "" {
		return nil, trace.BadParameter("front of service %q: listener and target are required", o.Service)
	}
	if o.PeerListener != nil && o.MACKeys == nil {
		return nil, trace.BadParameter("front of service %q: moved requests need MAC keys", o.Service)
	}
	if o.MaxRequests <= 0 {
		o.MaxRequests = defaultMaxRequests
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Kill == nil {
		o.Kill = context.Background()
	}
	f := &Front{
		o: o, target: newClient(), peers: newClient(), nonces: newNonceCache(), idle: newIdleConns(),
		wake:     make(chan struct{}, 1),
		requests: make(map[admission.RequestID]*request),
		keyed:    make(map[uint64]*request),
		core: admission.New(admission.Options{
			Self: o.Self, Slots: o.Slots, Warmup: o.Warmup, Seed: o.Seed, MaxRequests: o.MaxRequests,
		}),
	}
	if o.Homes != nil {
		f.keys = keys.New(keys.Options{Self: o.Self, Service: o.Service, Homes: o.Homes, Opens: o.KeysOpen, MaxAttempts: o.MaxRequests})
	}
	f.events = ring.New[requestEvent](eventsPerRequest*o.MaxRequests, func() { f.count("front_events_dropped", "request") })
	f.incoming = ring.New[peerMessage](peerEvents, func() { f.count("front_events_dropped", "peer_message") })
	f.view.Store(&model.ServiceView{Service: o.Service, Policy: model.DefaultPolicy()})
	f.load.Store(&model.Load{})
	return f, nil
}

// Run serves until ctx ends. It then refuses new requests, waits for those in
// progress and returns.
func (f *Front) Run(ctx context.Context) error {
	loop, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	var g errgroup.Group
	g.Go(func() error { f.run(loop); return nil })
	servers := []*http.Server{f.serve(&g, f.o.Listener, f.serveCaller, func(c net.Conn, s http.ConnState) {
		f.idle.note(f.o.Now(), c, s)
	})}
	if f.o.PeerListener != nil {
		servers = append(servers, f.serve(&g, f.o.PeerListener, f.servePeer, nil))
	}
	<-ctx.Done()
	f.stopping.Store(true)
	f.Leave()
	err := f.shutdown(servers)
	stopLoop()
	if e := g.Wait(); e != nil {
		err = e
	}
	return trace.Wrap(err)
}

func (f *Front) serve(g *errgroup.Group, ln net.Listener, h http.HandlerFunc, connState func(net.Conn, http.ConnState)) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: connState}
	if f.o.Logger != nil {
		srv.ErrorLog = f.o.Logger.StandardLog()
	}
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err, "serve %s", ln.Addr())
		}
		return nil
	})
	return srv
}

func (f *Front) shutdown(servers []*http.Server) error {
	kill := f.o.Kill
	ctx := kill
	if f.o.ShutdownTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.o.ShutdownTimeout)
		defer cancel()
	}
	var g errgroup.Group
	for _, srv := range servers {
		g.Go(func() error {
			err := srv.Shutdown(ctx)
			if err != nil {
				_ = srv.Close() // the timeout passed; the rest is cut off
			}
			if kill.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "requests still in progress after %v", f.o.ShutdownTimeout)
		})
	}
	return g.Wait()
}

// Deliver takes a message from another agent. It does not block.
func (f *Front) Deliver(from model.NodeID, m message.Message) {
	f.incoming.Put(peerMessage{from, m})
}

// SetView replaces the view of the service.
func (f *Front) SetView(v model.ServiceView) {
	f.view.Store(&v)
	i := slices.IndexFunc(v.Members, func(m model.Member) bool { return m.ID == f.o.Self })
	f.setDrained(i >= 0 && v.Members[i].State == model.StateLeaving)
	f.post(admission.ViewChanged{View: v})
}

// setDrained follows a drain by a decision file, which can be taken back.
func (f *Front) setDrained(on bool) {
	if f.drained.Swap(on) == on || f.leaving.Load() {
		return
	}
	if on {
		f.idle.leave(f.o.Now())
	} else {
		f.idle.stay()
	}
}

// closing reports whether callers should open new connections elsewhere.
func (f *Front) closing() bool { return f.leaving.Load() || f.drained.Load() }

// Leave stops the start of new requests here; they move to other agents. Idle
// connections of callers are closed after a while.
func (f *Front) Leave() {
	if !f.leaving.Swap(true) {
		f.idle.leave(f.o.Now())
		f.post(admission.Leave{})
	}
}

// post hands a view or the leave to the loop; a newer view replaces one that
// still waits.
func (f *Front) post(ev admission.Event) {
	f.mu.Lock()
	kept := f.news[:0]
	for _, old := range f.news {
		_, oldView := old.(admission.ViewChanged)
		_, newView := ev.(admission.ViewChanged)
		if !oldView || !newView {
			kept = append(kept, old)
		}
	}
	f.news = append(kept, ev)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Running returns the number of requests that run at the target, feeds left out.
// Load differs: there, slots that must not be used count as busy.
func (f *Front) Running() int { return int(f.running.Load()) }

// Load returns the agent's own count of busy slots and waiting requests.
func (f *Front) Load() model.Load { return *f.load.Load() }

// Idle reports whether no request is in progress, feeds included.
func (f *Front) Idle() bool { return f.inFlight.Load() == 0 }

func (f *Front) count(name, reason string) {
	if f.o.Metrics != nil {
		f.o.Metrics.Count(name, reason, 1)
	}
}
