package feed_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/fleet/feed"
)

const (
	// storeLatency is the time that the store takes to answer a call.
	storeLatency = 4 * time.Millisecond
	// watchPoll is how often a waiting watch looks for changes.
	watchPoll = 10 * time.Millisecond
)

// client is the client of the store on one host. It counts its calls.
type client struct {
	store *store

	mu             sync.Mutex
	era            int64
	cut            bool
	lists, watches int
}

// enter counts a call and returns an error if the store does not answer this host.
func (c *client) enter(count *int) error {
	time.Sleep(storeLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	*count++
	if c.cut {
		return errDown
	}
	return nil
}

// answered records the era of an answer.
func (c *client) answered() {
	c.store.mu.Lock()
	era, down := c.store.era, c.store.down
	c.store.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !down && !c.cut {
		c.era = era
	}
}

func (c *client) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// calls returns the numbers of lists and watches so far.
func (c *client) calls() (lists, watches int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists, c.watches
}

func (c *client) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

func (c *client) List(ctx context.Context) ([]feed.Item, feed.Position, error) {
	if err := c.enter(&c.lists); err != nil {
		return nil, feed.Position{}, err
	}
	defer c.answered()
	return c.store.List(ctx)
}

func (c *client) Watch(ctx context.Context, after int64, wait time.Duration) ([]feed.Item, feed.Position, error) {
	if err := c.enter(&c.watches); err != nil {
		return nil, feed.Position{}, err
	}
	defer c.answered()
	for deadline := time.Now().Add(wait); ; time.Sleep(watchPoll) {
		changed, position, err := c.store.Watch(ctx, after, wait)
		if len(changed) > 0 || err != nil || ctx.Err() != nil || !time.Now().Before(deadline) {
			return changed, position, err
		}
	}
}

// fleetHost is a host of a fleet. It implements feed.Peers.
type fleetHost struct {
	*follower
	fleet  *fleet
	client *client
	stop   context.CancelFunc
}

// fleet is a group of hosts that follow a store. The first one that runs is the designated
// reader of all.
type fleet struct {
	store *store
	ctx   context.Context

	mu    sync.Mutex
	hosts []*fleetHost
	// running holds the hosts that run.
	running map[*fleetHost]bool
}

// startFleet starts a fleet of n hosts, which share a store, and waits until they have
// started.
func startFleet(ctx context.Context, s *store, n int) *fleet {
	fl := &fleet{store: s, ctx: ctx, running: map[*fleetHost]bool{}}
	for range n {
		fl.start()
	}
	time.Sleep(2 * time.Second)
	return fl
}

// start starts a further host.
func (fl *fleet) start() {
	ctx, stop := context.WithCancel(fl.ctx)
	h := &fleetHost{fleet: fl, client: &client{store: fl.store}, stop: stop}
	fl.mu.Lock()
	fl.hosts = append(fl.hosts, h)
	fl.running[h] = true
	fl.mu.Unlock()
	h.follower = newFollower(h.client, h)
	go h.Run(ctx)
}

// kill ends a host.
func (fl *fleet) kill(h *fleetHost) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.running, h)
	h.stop()
}

// all returns the hosts that run, the reader first.
func (fl *fleet) all() []*fleetHost {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var all []*fleetHost
	for _, h := range fl.hosts {
		if fl.running[h] {
			all = append(all, h)
		}
	}
	return all
}

// other returns the reader or, for the reader itself, another host.
func (h *fleetHost) other() *fleetHost {
	for _, o := range h.fleet.all() {
		if o != h {
			return o
		}
	}
	return nil
}

func (h *fleetHost) HasReader() bool {
	all := h.fleet.all()
	return len(all) > 0 && all[0] != h
}

func (h *fleetHost) HasLive() bool { return h.other() != nil }

func (h *fleetHost) FetchUpdate(_ context.Context, r feed.Request) (feed.Update, error) {
	time.Sleep(time.Millisecond)
	o := h.other()
	if o == nil {
		return feed.Update{}, errors.New("no other host runs")
	}
	update, ok := o.UpdateSince(time.Now(), r)
	if !ok {
		return feed.Update{}, errors.New("no list has been read")
	}
	// Messages between hosts have no fingerprints.
	items := make([]feed.Item, 0, len(update.Items))
	for _, i := range update.Items {
		items = append(items, feed.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	update.Items = items
	return update, nil
}

// lists returns the numbers of lists that the hosts have made, in their order.
func (fl *fleet) lists() []int {
	var all []int
	for _, h := range fl.all() {
		n, _ := h.client.calls()
		all = append(all, n)
	}
	return all
}

// lagging returns the hosts, by their numbers, that do not know a value of a key.
func (fl *fleet) lagging(key, value string) []int {
	var lagging []int
	for n, h := range fl.all() {
		if h.sink.get(key) != value {
			lagging = append(lagging, n)
		}
	}
	return lagging
}

// newStore returns a store in its first era, with the given number of targets.
func newStore(targets int) *store {
	s := &store{content: content{items: map[string]feed.Item{}}, era: 1, targets: targets}
	s.write("manifest", "1")
	for n := range targets {
		s.heartbeat(targetKey(n))
	}
	return s
}

func targetKey(n int) string { return "target-" + time.Duration(n).String() }

// heartbeat writes the entry of a target that is ready, whose value is its state and a number.
func (s *store) heartbeat(key string) {
	const state = "ready"
	s.mu.Lock()
	s.beats++
	value := state + ":" + time.Duration(s.beats).String()
	s.mu.Unlock()
	s.writeWithFingerprint(key, value, state)
}

// beat keeps writing the entries of targets until ctx ends.
func (s *store) beat(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(1200 * time.Millisecond / time.Duration(s.targets))
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if !down {
			s.heartbeat(targetKey(n % s.targets))
		}
	}
}

// drill takes the store away for some time and lets it come back from a copy that is age old
// when it leaves.
func (s *store) drill(age, away time.Duration, meanwhile func()) {
	old := s.copyContent()
	meanwhile()
	time.Sleep(age)
	s.setFaults(true, false)
	time.Sleep(away)
	s.returnFrom(old)
}

// inBubble runs a test with a paused clock and a context that ends with it.
func inBubble(t *testing.T, f func(*testing.T, context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(t, ctx)
		cancel()
		time.Sleep(time.Minute) // All goroutines must have ended when the bubble does.
	})
}
