// Package keys keeps the records by which a request with an idempotency key
// runs at most once. Each key belongs to a bucket, and each bucket has two homes
// among the agents of the service. A run starts after all homes have stored its
// record; any one home that knows the bucket back to the key's age rules out an
// earlier run. In doubt the answer is unknown, never a second run.
package keys

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// buckets is the number of key ranges. Homes rank buckets instead of single
	// keys, so that the coverage of a range is one value.
	buckets = 1024
	// homesPerKey is the number of agents that store a record.
	homesPerKey = 2
	// clockSkew bounds the difference between the clocks of two agents and the
	// time by which a key may be ahead of them.
	clockSkew = 5 * time.Second
	// maxStepGap is the longest time between two steps after which the core still
	// trusts its view. Ticks come each second.
	maxStepGap = 2500 * time.Millisecond
	tickEvery  = time.Second
	// contactGrace is added to the settle time before an unsettled view without
	// a change counts as lost contact.
	contactGrace = time.Second

	defaultSettle      = 5 * time.Second
	defaultMaxRecords  = 200000
	defaultAnswerBytes = 64 << 20
	// defaultMaxAnswer keeps a KeyCopy of one record within one datagram.
	defaultMaxAnswer = 32 << 10
	// defaultMaxAttempts is twice the connections of a target today.
	defaultMaxAttempts = 4096
)

// Options are the settings of a core. A zero number takes its default.
type Options struct {
	Self      model.NodeID
	Service   model.ServiceName
	Homes     Homes
	Retention time.Duration // how long the record of an ended run is kept
	Settle    time.Duration // of the view; 5 s
	// Opens is a time before which no request of the service can have run. An
	// agent that is a home before it covers all keys. Zero if there is none.
	Opens          time.Time
	MaxRecords     int // 200,000
	MaxAnswer      int // bytes of one stored answer; 32 KB
	MaxAnswerBytes int // of all stored answers; 64 MB
	MaxAttempts    int // requests of this agent in progress or being closed; 4,096
}

// Core holds the keyed requests that this agent runs and the records that it
// keeps as a home.
type Core struct {
	o     Options
	now   time.Time
	last  time.Time // of the previous step
	out   []Action
	local []Received // messages to itself

	members   map[model.NodeID]model.Member
	memberIDs []model.NodeID // in order

	// runner side
	attempts map[uint64]*attempt // by request
	byID     map[uint64]*attempt // by attempt
	order    []*attempt          // in order of begin
	lastID   uint64

	// home side
	records     [buckets]map[string]*record
	count       int
	answerBytes int
	expiry      []expiring
	released    map[attemptKey]bool
	releasedSeq []releasedAt

	// coverage
	cover         [buckets]coverage
	settled       bool // the current view has settled and was acted on
	lastView      time.Time
	distrustUntil time.Time
	generation    int
	pulls         map[model.NodeID]*pull
	nextPull      time.Time
}

// New returns a core without records and without coverage.
func New(o Options) *Core {
	orInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	orInt(&o.MaxRecords, defaultMaxRecords)
	orInt(&o.MaxAnswer, defaultMaxAnswer)
	orInt(&o.MaxAnswerBytes, defaultAnswerBytes)
	orInt(&o.MaxAttempts, defaultMaxAttempts)
	if o.Retention <= 0 {
		o.Retention = model.DefaultPolicy().KeyRetention
	}
	if o.Settle <= 0 {
		o.Settle = defaultSettle
	}
	return &Core{
		o:        o,
		members:  make(map[model.NodeID]model.Member),
		attempts: make(map[uint64]*attempt),
		byID:     make(map[uint64]*attempt),
		released: make(map[attemptKey]bool),
		pulls:    make(map[model.NodeID]*pull),
	}
}

// Step takes one event and returns what to do. The returned slice is valid
// until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.out = c.out[:0]
	c.now = now
	c.watchClock()
	switch e := ev.(type) {
	case Begin:
		c.begin(e)
	case Ended:
		c.ended(e)
	case Received:
		c.receive(e)
	case ViewChanged:
		c.viewChanged(e.View)
	case Tick:
	}
	c.housekeeping()
	for len(c.local) > 0 {
		in := c.local[0]
		c.local = c.local[1:]
		c.receive(in)
	}
	c.last = now
	return c.out
}

// watchClock drops the coverage after a pause: the view may have changed, and
// others may have run keys without this home.
func (c *Core) watchClock() {
	if c.last.IsZero() {
		c.lastView = c.now
		c.lastID = uint64(c.now.UnixMilli()) << 20 // IDs grow across restarts
		return
	}
	if c.now.Sub(c.last) > maxStepGap || c.now.Before(c.last.Add(-clockSkew)) {
		c.lapse()
		c.distrustUntil = c.now.Add(c.o.Settle)
	}
}

func (c *Core) housekeeping() {
	if !c.settled && !c.now.Before(c.distrustUntil) && len(c.members) > 0 && c.o.Homes.Settled(c.now) {
		c.settle()
	} else if c.settled && c.now.Sub(c.lastView) > c.o.Settle+contactGrace && !c.o.Homes.Settled(c.now) {
		c.lapse() // contact was lost: others may have changed the view
	}
	c.expire()
	c.driveAttempts()
	c.pullCoverage()
}

// Next returns when a Tick is due.
func (c *Core) Next() time.Time {
	next := c.last.Add(tickEvery)
	for _, a := range c.order {
		if !a.next.IsZero() && a.next.Before(next) {
			next = a.next
		}
	}
	return next
}

func (c *Core) receive(in Received) {
	switch m := in.Msg.(type) {
	case message.KeyBegin:
		c.keyBegin(in.From, m)
	case message.KeyReply:
		c.keyReply(in.From, m)
	case message.KeyDone:
		c.keyDone(in.From, m)
	case message.KeyDoneAck:
		c.keyDoneAck(in.From, m)
	case message.KeyPull:
		c.keyPull(in.From, m)
	case message.KeyCopy:
		c.keyCopy(in.From, m)
	}
}

func (c *Core) send(to model.NodeID, m message.Message) {
	if to == c.o.Self {
		c.local = append(c.local, Received{From: to, Msg: m})
		return
	}
	c.out = append(c.out, Send{To: to, Msg: m})
}

func (c *Core) viewChanged(v model.ServiceView) {
	c.lastView = c.now
	c.settled = false
	if v.Policy.KeyRetention > 0 {
		c.o.Retention = v.Policy.KeyRetention
	}
	clear(c.members)
	c.memberIDs = c.memberIDs[:0]
	for _, m := range v.Members {
		if m.State != model.StateGone {
			c.members[m.ID] = m
			c.memberIDs = append(c.memberIDs, m.ID)
		}
	}
	slices.Sort(c.memberIDs)
	for b := range c.cover {
		c.noteHomes(b)
	}
}

// noteHomes follows the homes of a bucket through the views.
func (c *Core) noteHomes(b int) {
	cov := &c.cover[b]
	var set uint64
	home := false
	if sets := c.joint(b); len(sets) > 0 {
		for _, id := range sets[0] {
			set ^= model.Mix(model.HashString(string(id)))
			home = home || id == c.o.Self
		}
	}
	switch {
	case home:
		cov.away = 0
	case set != cov.set:
		cov.away++
	}
	cov.lapsed = cov.lapsed || !home
	cov.set = set
}

// isHome reports whether the agent is a home of the bucket under the current view.
func (c *Core) isHome(b int) bool {
	sets := c.joint(b)
	return len(sets) > 0 && slices.Contains(sets[0], c.o.Self)
}

func (c *Core) joint(b int) [][]model.NodeID {
	return c.o.Homes.Joint(c.now, bucketHash(c.o.Service, b), homesPerKey)
}

func bucketHash(s model.ServiceName, b int) uint64 {
	return model.Mix(model.HashString(string(s)) ^ model.Mix(uint64(b)))
}

func bucketOf(s model.ServiceName, key string) int {
	return int(model.Mix(model.HashString(string(s))^model.HashString(key)) % buckets)
}

// Issued returns the time inside a UUIDv7 key, or the zero time.
func Issued(key string) time.Time {
	key = strings.Trim(key, `"`) // the header is a structured string
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[14] != '7' || key[18] != '-' || key[23] != '-' {
		return time.Time{}
	}
	if !strings.ContainsRune("89abAB", rune(key[19])) {
		return time.Time{}
	}
	for _, part := range []string{key[15:18], key[20:23], key[24:]} {
		if _, err := strconv.ParseUint(part, 16, 64); err != nil {
			return time.Time{}
		}
	}
	ms, err := strconv.ParseInt(key[:8]+key[9:13], 16, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
