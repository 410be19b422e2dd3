// Package keys keeps records that make a request with an idempotency key run at most once. Each key
// belongs to a bucket, and each bucket has two homes among the agents of the service. The runner, the
// agent that a request arrived at, lets it run after all homes have stored its record, and only if the
// coverage of at least one home rules out an earlier run. A home has coverage of a bucket since a time
// if it has the records of all runs since then; it must reach back to the timestamp of the key, or over
// the retention if the key has none. In doubt the outcome is unknown: a key is never run a second time.
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
	// bucketCount is the number of buckets that keys are hashed into. Homes are assigned to buckets
	// instead of single keys, so that coverage is one value per bucket.
	bucketCount = 1024
	// homesPerKey is the number of agents that store a record.
	homesPerKey = 2
	// maxKeyAhead is how far the time of a key may be ahead of the clock of an agent that grants it.
	maxKeyAhead = 5 * time.Second
	// defaultClockSkew admits two agents whose times of day are wrong by 20 s in opposite directions.
	defaultClockSkew = 40 * time.Second
	// maxStepGap is the longest gap between two steps after which the core still trusts its view.
	// Ticks come every second.
	maxStepGap   = 2500 * time.Millisecond
	tickInterval = time.Second
	// lostContactGrace is added to the settle time. A view that is unsettled for longer, without a
	// change, means that contact with the observers was lost.
	lostContactGrace = time.Second

	defaultSettle      = 5 * time.Second
	defaultMaxRecords  = 200000
	defaultAnswerBytes = 64 << 20
	// defaultMaxAnswer keeps a KeyCopy of one record within one datagram.
	defaultMaxAnswer = 32 << 10
	// defaultMaxAttempts is twice the connection limit of a target.
	defaultMaxAttempts = 4096
)

// Options configures a Core. A zero number selects the default.
type Options struct {
	Self      model.NodeID
	Service   model.ServiceName
	Homes     Homes
	Retention time.Duration // how long the record of a completed run is kept
	Settle    time.Duration // time after a change until the view is settled; default 5 s
	// Opens is a time before which no request of the service can have run. An agent that is a home
	// before that time has coverage of all keys. The zero time means that there is none.
	Opens time.Time
	// MaxClockSkew bounds the difference between the times of day of two agents, at the same moment
	// or at different ones; default 40 s. Within it, no key runs twice.
	MaxClockSkew   time.Duration
	MaxRecords     int // default 200,000
	MaxAnswer      int // bytes of one stored answer; default 32 KB
	MaxAnswerBytes int // bytes of all stored answers; default 64 MB
	MaxAttempts    int // requests of this agent in progress or being closed; default 4,096
}

// Core holds the attempts of this agent as a runner and its records as a home.
type Core struct {
	opts         Options
	now          time.Time
	lastStep     time.Time
	actions      []Action
	selfMessages []Received // messages of this agent to itself

	members   map[model.NodeID]model.Member
	memberIDs []model.NodeID // sorted

	// State as a runner.
	attemptsByRequest map[uint64]*attempt
	attemptsByID      map[uint64]*attempt
	attempts          []*attempt // by start
	lastID            uint64

	// State as a home.
	records       [bucketCount]map[string]*record
	recordCount   int
	answerBytes   int
	expiryQueue   []expiryEntry
	released      map[attemptRef]bool
	releasedQueue []releasedEntry

	// Coverage of the buckets.
	coverage           [bucketCount]bucketCoverage
	settled            bool // the current view has settled and was applied
	lastViewChange     time.Time
	viewUntrustedUntil time.Time
	generation         int
	pulls              map[model.NodeID]*pullState
	nextPull           time.Time
}

// New returns a core without records and without coverage.
func New(opts Options) *Core {
	setDefault := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setDefault(&opts.MaxRecords, defaultMaxRecords)
	setDefault(&opts.MaxAnswer, defaultMaxAnswer)
	setDefault(&opts.MaxAnswerBytes, defaultAnswerBytes)
	setDefault(&opts.MaxAttempts, defaultMaxAttempts)
	if opts.Retention <= 0 {
		opts.Retention = model.DefaultPolicy().KeyRetention
	}
	if opts.Settle <= 0 {
		opts.Settle = defaultSettle
	}
	if opts.MaxClockSkew <= 0 {
		opts.MaxClockSkew = defaultClockSkew
	}
	return &Core{
		opts:              opts,
		members:           make(map[model.NodeID]model.Member),
		attemptsByRequest: make(map[uint64]*attempt),
		attemptsByID:      make(map[uint64]*attempt),
		released:          make(map[attemptRef]bool),
		pulls:             make(map[model.NodeID]*pullState),
	}
}

// Step handles one event and returns the resulting actions. The slice is valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	c.now = now
	c.detectStepGap()
	switch e := ev.(type) {
	case Begin:
		c.handleBegin(e)
	case Ended:
		c.handleEnded(e)
	case Received:
		c.handleMessage(e)
	case ViewChanged:
		c.handleViewChanged(e.View)
	case Tick:
	}
	c.housekeeping()
	for len(c.selfMessages) > 0 {
		in := c.selfMessages[0]
		c.selfMessages = c.selfMessages[1:]
		c.handleMessage(in)
	}
	c.lastStep = now
	return c.actions
}

// detectStepGap drops the coverage after a gap between steps: the view may have changed, and other
// agents may have run keys without this home.
func (c *Core) detectStepGap() {
	if c.lastStep.IsZero() {
		c.lastViewChange = c.now
		c.lastID = uint64(c.now.UnixMilli()) << 20 // keeps IDs increasing across restarts
		return
	}
	if c.now.Sub(c.lastStep) > maxStepGap {
		c.dropCoverage()
		c.viewUntrustedUntil = c.now.Add(c.opts.Settle)
	}
}

// housekeeping applies a view that has settled, drops the coverage if contact with the observers was
// lost, and does what is due.
func (c *Core) housekeeping() {
	if !c.settled && !c.now.Before(c.viewUntrustedUntil) && len(c.members) > 0 && c.opts.Homes.Settled(c.now) {
		c.applySettledView()
	} else if c.settled && c.now.Sub(c.lastViewChange) > c.opts.Settle+lostContactGrace && !c.opts.Homes.Settled(c.now) {
		c.dropCoverage() // without contact, the view may be outdated
	}
	c.expire()
	c.advanceAttempts()
	c.pullCoverage()
}

// Next returns when the next Tick is due.
func (c *Core) Next() time.Time {
	due := c.lastStep.Add(tickInterval)
	for _, a := range c.attempts {
		if !a.due.IsZero() && a.due.Before(due) {
			due = a.due
		}
	}
	return due
}

func (c *Core) handleMessage(in Received) {
	switch m := in.Msg.(type) {
	case message.KeyBegin:
		c.handleKeyBegin(in.From, m)
	case message.KeyReply:
		c.handleKeyReply(in.From, m)
	case message.KeyDone:
		c.handleKeyDone(in.From, m)
	case message.KeyDoneAck:
		c.handleKeyDoneAck(in.From, m)
	case message.KeyPull:
		c.handleKeyPull(in.From, m)
	case message.KeyCopy:
		c.handleKeyCopy(in.From, m)
	}
}

func (c *Core) send(to model.NodeID, m message.Message) {
	if to == c.opts.Self {
		c.selfMessages = append(c.selfMessages, Received{From: to, Msg: m})
		return
	}
	c.actions = append(c.actions, Send{To: to, Msg: m})
}

func (c *Core) handleViewChanged(v model.ServiceView) {
	c.lastViewChange = c.now
	c.settled = false
	if v.Policy.KeyRetention > 0 {
		c.opts.Retention = v.Policy.KeyRetention
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
	for b := range c.coverage {
		c.trackHomes(b)
	}
}

// trackHomes updates the coverage of a bucket with its homes under the new view.
func (c *Core) trackHomes(b int) {
	cov := &c.coverage[b]
	var homesHash uint64
	isHome := false
	if sets := c.homeSets(b); len(sets) > 0 {
		for _, id := range sets[0] {
			homesHash ^= model.Mix(model.HashString(string(id)))
			isHome = isHome || id == c.opts.Self
		}
	}
	switch {
	case isHome:
		cov.changesSinceHome = 0
	case homesHash != cov.homesHash:
		cov.changesSinceHome++
	}
	cov.interrupted = cov.interrupted || !isHome
	cov.homesHash = homesHash
}

// isHomeOf reports whether the agent is a home of the bucket under the current view.
func (c *Core) isHomeOf(b int) bool {
	sets := c.homeSets(b)
	return len(sets) > 0 && slices.Contains(sets[0], c.opts.Self)
}

// homeSets returns the sets of homes of a bucket, see Homes.HomeSets.
func (c *Core) homeSets(b int) [][]model.NodeID {
	return c.opts.Homes.HomeSets(c.now, bucketHash(c.opts.Service, b), homesPerKey)
}

func bucketHash(s model.ServiceName, b int) uint64 {
	return model.Mix(model.HashString(string(s)) ^ model.Mix(uint64(b)))
}

func bucketOf(s model.ServiceName, key string) int {
	return int(model.Mix(model.HashString(string(s))^model.HashString(key)) % bucketCount)
}

// Issued returns the timestamp of a UUIDv7 key, or the zero time for other keys.
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
