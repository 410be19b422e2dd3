// Package front implements the HTTP proxy of an agent. It accepts requests of callers, lets the
// admission core decide whether each runs here, moves to another agent or is refused, and
// forwards it to the local target.
//
// A feed is a streaming response, which may last for hours.
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
	// defaultMaxRequests is the default of Options.MaxRequests.
	defaultMaxRequests = 4096
	// eventsPerRequest exceeds the events that one request can have in the ring at a
	// time, so that the ring never fills and the end of a request is never dropped.
	eventsPerRequest = 6
	// peerMessageBuffer is the capacity of the queue of peer messages; a full queue drops
	// new messages.
	peerMessageBuffer = 4096
	// headerTimeout is the time in which a request's header must be received.
	headerTimeout = 10 * time.Second
)

// Peers sends messages to other agents. Send must not block.
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
	Listener     net.Listener // for callers
	PeerListener net.Listener // for requests that other agents move here; may be nil
	Target       *url.URL     // scheme http, host and port
	Slots        int
	Warmup       time.Duration // time in which load on a new target is ramped up; 0 is none
	MaxRequests  int           // limit on requests in progress, feeds included; 0 is 4,096
	Seed         uint64
	Peers        Peers // may be nil for an agent without peers
	// RequestAddr returns the address of a peer's PeerListener. If it is nil, the
	// address comes from the view.
	RequestAddr func(model.NodeID) (netip.AddrPort, bool)
	// Homes ranks the homes of idempotency keys. Only the loop uses it. If it has an
	// Apply method, as placement.Table has, the loop passes it each view. If Homes is
	// nil, idempotency keys are ignored and each attempt of a caller runs at most once.
	Homes keys.Homes
	// KeysOpen is a time before which no request of the service can have run, or
	// zero if none is known; see keys.Options.Opens.
	KeysOpen time.Time
	// KeyClockSkew bounds the difference between the clocks of two agents; see
	// keys.Options.MaxClockSkew, which has the default.
	KeyClockSkew time.Duration
	// MACKeys returns the keys that authenticate moved requests. The first one signs
	// and all of them verify, which allows key rotation.
	MACKeys func() [][]byte
	Metrics Metrics     // may be nil
	Logger  *log.Logger // may be nil
	Now     func() time.Time
	// ShutdownTimeout is the time that requests in progress have to end after the
	// context of Run ended; 0 is unlimited.
	ShutdownTimeout time.Duration
	// Kill aborts the requests in progress when it ends; it may be nil.
	Kill context.Context
}

// Front is the HTTP proxy of one agent.
type Front struct {
	opts          Options
	target        *http.Client
	peers         *http.Client
	nonces        *nonceCache
	idle          *idleConns
	unanswered    *unansweredConns
	nextID        atomic.Uint64
	inFlight      atomic.Int64
	leaving       atomic.Bool // Leave was called
	drainedByFile atomic.Bool // a decision file drains the target
	stopping      atomic.Bool // the context of Run ended
	view          atomic.Pointer[model.ServiceView]
	load          atomic.Pointer[model.Load]
	running       atomic.Int64 // see Running

	events      *ring.Ring[requestEvent]
	incoming    *ring.Ring[peerMessage]
	updateReady chan struct{} // signals that updates is not empty

	mu      sync.Mutex
	updates []admission.Event // at most one ViewChanged and one Leave

	// Owned by the loop.
	core          *admission.Core
	requests      map[admission.RequestID]*request
	keys          *keys.Core // nil without Homes
	keyedRequests map[uint64]*request
}

// requestEvent is an event of one request, for the keys core if keyEvent is set, else for the
// admission core. All events share one ring, so that the loop receives the arrival of a
// request before its end.
type requestEvent struct {
	req      *request // set on arrival only
	event    admission.Event
	keyEvent keys.Event
}

// peerMessage is a message received from another agent.
type peerMessage struct {
	from model.NodeID
	msg  message.Message
}

// New checks the options and returns a front; Run starts it.
func New(opts Options) (*Front, error) {
	if opts.Listener == nil || opts.Target == nil || opts.Target.Host == "" {
		return nil, trace.BadParameter("front of service %q: listener and target are required", opts.Service)
	}
	if opts.PeerListener != nil && opts.MACKeys == nil {
		return nil, trace.BadParameter("front of service %q: moved requests need MAC keys", opts.Service)
	}
	if opts.MaxRequests <= 0 {
		opts.MaxRequests = defaultMaxRequests
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Kill == nil {
		opts.Kill = context.Background()
	}
	f := &Front{
		opts: opts, target: newClient(), peers: newClient(), nonces: newNonceCache(), idle: newIdleConns(), unanswered: newUnansweredConns(),
		updateReady:   make(chan struct{}, 1),
		requests:      make(map[admission.RequestID]*request),
		keyedRequests: make(map[uint64]*request),
		core: admission.New(admission.Options{
			Self: opts.Self, Slots: opts.Slots, Warmup: opts.Warmup, Seed: opts.Seed, MaxRequests: opts.MaxRequests,
		}),
	}
	if opts.Homes != nil {
		f.keys = keys.New(keys.Options{
			Self: opts.Self, Service: opts.Service, Homes: opts.Homes, Opens: opts.KeysOpen,
			MaxClockSkew: opts.KeyClockSkew, MaxAttempts: opts.MaxRequests,
		})
	}
	f.events = ring.New[requestEvent](eventsPerRequest*opts.MaxRequests, func() { f.count("front_events_dropped", "request") })
	f.incoming = ring.New[peerMessage](peerMessageBuffer, func() { f.count("front_events_dropped", "peer_message") })
	f.view.Store(&model.ServiceView{Service: opts.Service, Policy: model.DefaultPolicy()})
	f.load.Store(&model.Load{})
	return f, nil
}

// Run serves requests until ctx ends. It then refuses new requests and returns when those in
// progress have ended.
func (f *Front) Run(ctx context.Context) error {
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	var loop sync.WaitGroup
	loop.Go(func() { f.runLoop(loopCtx) })
	var g errgroup.Group
	listeners := []net.Listener{f.opts.Listener}
	servers := []*http.Server{f.startServer(&g, f.opts.Listener, f.serveCaller, func(c net.Conn, s http.ConnState) {
		f.idle.setState(f.opts.Now(), c, s)
	})}
	if f.opts.PeerListener != nil {
		listeners = append(listeners, f.opts.PeerListener)
		servers = append(servers, f.startServer(&g, f.opts.PeerListener, f.servePeer, nil))
	}
	<-ctx.Done()
	f.stopping.Store(true)
	f.Leave()
	// The servers take all accepted connections before the shutdown, which would miss
	// those still queued in a listener.
	for _, ln := range listeners {
		_ = ln.Close() // the servers return the cause if one does not end because of this
	}
	serverErr := g.Wait()
	err := f.shutdown(servers)
	stopLoop()
	loop.Wait()
	if serverErr != nil {
		err = serverErr
	}
	return trace.Wrap(err)
}

// startServer runs an HTTP server on a listener in g.
func (f *Front) startServer(g *errgroup.Group, ln net.Listener, h http.HandlerFunc, connState func(net.Conn, http.ConnState)) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: func(c net.Conn, s http.ConnState) {
		f.unanswered.setState(c, s)
		if connState != nil {
			connState(c, s)
		}
	}}
	if f.opts.Logger != nil {
		srv.ErrorLog = f.opts.Logger.StandardLog()
	}
	g.Go(func() error {
		err := srv.Serve(ln)
		if f.stopping.Load() && errors.Is(err, net.ErrClosed) {
			return nil
		}
		return trace.Wrap(err, "serve %s", ln.Addr())
	})
	return srv
}

// shutdown waits for the requests in progress and closes the servers. At the shutdown timeout
// it aborts the requests and returns an error. When Options.Kill ends, it aborts them and
// returns nil.
func (f *Front) shutdown(servers []*http.Server) error {
	kill := f.opts.Kill
	ctx := kill
	if f.opts.ShutdownTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.opts.ShutdownTimeout)
		defer cancel()
	}
	f.unanswered.wait(ctx)
	var g errgroup.Group
	for _, srv := range servers {
		g.Go(func() error {
			err := srv.Shutdown(ctx)
			if err != nil {
				_ = srv.Close() // aborts the requests that are left
			}
			if kill.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "requests still in progress after %v", f.opts.ShutdownTimeout)
		})
	}
	return g.Wait()
}

// Deliver queues a message from another agent for the loop. It does not block.
func (f *Front) Deliver(from model.NodeID, m message.Message) {
	f.incoming.Put(peerMessage{from, m})
}

// SetView replaces the view of the service. It does not block.
func (f *Front) SetView(v model.ServiceView) {
	f.view.Store(&v)
	i := slices.IndexFunc(v.Members, func(m model.Member) bool { return m.ID == f.opts.Self })
	f.setDrainedByFile(i >= 0 && v.Members[i].State == model.StateLeaving)
	f.enqueueUpdate(admission.ViewChanged{View: v})
}

// setDrainedByFile starts to close idle connections when a decision file drains the target,
// and stops when the drain is reversed.
func (f *Front) setDrainedByFile(drained bool) {
	if f.drainedByFile.Swap(drained) == drained || f.leaving.Load() {
		return
	}
	if drained {
		f.idle.startClosing(f.opts.Now())
	} else {
		f.idle.stopClosing()
	}
}

// closing reports whether responses tell callers to close the connection, so that their next
// one goes to another agent.
func (f *Front) closing() bool { return f.leaving.Load() || f.drainedByFile.Load() }

// Leave stops the agent from starting new requests; they move to other agents. Idle
// connections of callers are closed after idleCloseDelay.
func (f *Front) Leave() {
	if !f.leaving.Swap(true) {
		f.idle.startClosing(f.opts.Now())
		f.enqueueUpdate(admission.Leave{})
	}
}

// enqueueUpdate passes a ViewChanged or Leave event to the loop. A new view replaces one that
// the loop has not handled yet.
func (f *Front) enqueueUpdate(ev admission.Event) {
	f.mu.Lock()
	kept := f.updates[:0]
	for _, old := range f.updates {
		_, oldView := old.(admission.ViewChanged)
		_, newView := ev.(admission.ViewChanged)
		if !oldView || !newView {
			kept = append(kept, old)
		}
	}
	f.updates = append(kept, ev)
	f.mu.Unlock()
	select {
	case f.updateReady <- struct{}{}:
	default:
	}
}

// Running returns the number of requests that run at the target, without feeds. Load differs:
// it reports slots that must not be used as busy.
func (f *Front) Running() int { return int(f.running.Load()) }

// Load returns the number of busy slots and waiting requests at this agent.
func (f *Front) Load() model.Load { return *f.load.Load() }

// Idle reports whether no request and no feed is in progress.
func (f *Front) Idle() bool { return f.inFlight.Load() == 0 }

func (f *Front) count(name, reason string) {
	if f.opts.Metrics != nil {
		f.opts.Metrics.Count(name, reason, 1)
	}
}
