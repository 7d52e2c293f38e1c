package feed_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fescuerill/internal/fleet/feed"
)

const (
	modelHosts   = 5
	modelTargets = 6
	// settleTime is the time after the last trouble within which all hosts must be equal to the
	// store: a host that the store refuses calls it every four seconds.
	settleTime = 12 * time.Second
)

// event is a step of a run of the model.
type event struct {
	kind  string
	delay time.Duration
	host  int
	age   time.Duration
}

// eventKinds are the kinds of events, those that are drawn more often several times.
var eventKinds = []string{
	"manifest", "manifest", "manifest", "remove", "evacuate", "restore",
	"return", "return", "return-at-once", "away", "back", "compact", "cut", "reconnect", "kill", "start", "burst",
}

func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			delay: time.Duration(rapid.IntRange(0, 2500).Draw(t, "delay-ms")) * time.Millisecond,
			host:  rapid.IntRange(0, modelHosts-1).Draw(t, "host"),
			age:   time.Duration(rapid.IntRange(0, 10_000).Draw(t, "age-ms")) * time.Millisecond,
		}
	}), 1, 14).Draw(t, "events")
}

// datedCopy is a copy of the store with its time.
type datedCopy struct {
	at time.Time
	content
}

// model is a store with a history of copies, the hosts that follow it, and what must hold.
type model struct {
	store    *store
	fleet    *fleet
	copies   []datedCopy
	version  int
	written  map[string]string
	broken   []string
	position map[*fleetHost]feed.Position
}

// check compares the positions and manifests of the hosts with those before.
func (m *model) check() {
	for n, h := range m.fleet.all() {
		position := h.State(time.Now()).Position
		if position.Before(m.position[h]) {
			m.breaks("host %d went from %s back to %s", n, m.position[h], position)
		}
		m.position[h] = position
	}
}

func (m *model) breaks(format string, args ...any) {
	m.broken = append(m.broken, fmt.Sprintf(format, args...))
}

// pass lets time pass, in which copies are made and the hosts are checked.
func (m *model) pass(d time.Duration) {
	const interval = 100 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(min(interval, time.Until(end))) {
		m.copies = append(m.copies, datedCopy{time.Now(), m.store.copyContent()})
		m.check()
	}
}

// write writes what the operators want the store to hold, or deletes the key. While the store
// is away, it is written when the store is back.
func (m *model) write(key, value string) {
	m.written[key] = value
	m.store.mu.Lock()
	down := m.store.down
	m.store.mu.Unlock()
	if !down {
		m.store.write(key, value)
	}
}

// rewrite writes again what the store has lost.
func (m *model) rewrite() {
	for _, key := range slices.Sorted(maps.Keys(m.written)) {
		m.store.mu.Lock()
		value := string(m.store.items[key].Value)
		m.store.mu.Unlock()
		if value != m.written[key] {
			m.store.write(key, m.written[key])
		}
	}
}

// returnFromCopy lets the store come back from the latest copy that is age old, or the oldest.
func (m *model) returnFromCopy(age time.Duration) {
	chosen := m.copies[0]
	for _, c := range m.copies {
		if time.Since(c.at) >= age {
			chosen = c
		}
	}
	m.store.returnFrom(chosen.content)
}

func (m *model) play(e event) {
	m.pass(e.delay)
	all := m.fleet.all()
	h := all[e.host%len(all)]
	switch e.kind {
	case "manifest":
		m.version++
		m.write("manifest", fmt.Sprint(m.version))
	case "remove":
		m.write(fmt.Sprint("key-", e.host), "")
	case "evacuate":
		m.write(fmt.Sprint("key-", e.host), "x")
	case "restore", "back":
		m.store.setFaults(false, false)
		m.rewrite()
	case "burst":
		for n := range 100 {
			m.store.heartbeat(targetKey(n % modelTargets))
		}
	case "return":
		m.store.setFaults(true, false)
		m.pass(time.Duration(300+e.age.Milliseconds()/5) * time.Millisecond)
		m.returnFromCopy(e.age)
		m.pass(time.Duration(e.age.Milliseconds()/10) * time.Millisecond)
		m.rewrite()
	case "return-at-once":
		m.returnFromCopy(e.age)
		m.rewrite()
	case "away":
		m.store.setFaults(true, false)
	case "compact":
		m.store.compact()
	default:
		m.disturb(e.kind, h)
	}
}

// disturb plays an event of a host.
func (m *model) disturb(kind string, h *fleetHost) {
	switch kind {
	case "cut":
		h.client.setCut(true)
	case "reconnect":
		h.client.setCut(false)
	case "kill":
		if len(m.fleet.all()) > 2 {
			m.fleet.kill(h)
		}
	case "start":
		m.fleet.start()
	}
}

// settle ends all troubles and compares the hosts with the store.
func (m *model) settle() {
	m.store.setFaults(false, false)
	for _, h := range m.fleet.all() {
		h.client.setCut(false)
	}
	m.rewrite()
	m.pass(settleTime)
	want := m.store.copyContent()
	era := m.store.Era()
	for n, h := range m.fleet.all() {
		if position := h.State(time.Now()).Position; position.Era() != era {
			m.breaks("host %d is at %s, the store in era %d", n, position, era)
		}
		h.sink.mu.Lock()
		for _, key := range slices.Sorted(maps.Keys(want.items)) {
			if got := h.sink.values[key]; state(got) != state(string(want.items[key].Value)) {
				m.breaks("host %d has %s=%q, the store %q", n, key, got, want.items[key].Value)
			}
		}
		for key := range h.sink.values {
			if _, ok := want.items[key]; !ok {
				m.breaks("host %d has %s, the store does not", n, key)
			}
		}
		h.sink.mu.Unlock()
	}
}

// state returns the part of a value that is not a heartbeat.
func state(value string) string {
	text, _, _ := strings.Cut(value, ":")
	return text
}

// playModel plays events against a store and hosts on a paused clock and returns what broke.
func playModel(t *testing.T, events []event) []string {
	var broken []string
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore(modelTargets)
		m := &model{store: s, version: 1, written: map[string]string{"manifest": "1"}, position: map[*fleetHost]feed.Position{}}
		m.fleet = startFleet(ctx, s, modelHosts)
		go s.beat(ctx)
		m.pass(time.Second)
		for _, e := range events {
			m.play(e)
		}
		m.settle()
		cancel()
		time.Sleep(time.Minute) // All goroutines must have ended when the bubble does.
		broken = m.broken
	})
	return broken
}

// TestHostsFollowModelStore plays outages, returns from copies in series, compactions, cut-off,
// killed and started hosts, and changes, in random order. No host may go back, and when the
// troubles are over, each must know exactly what the store holds.
func TestHostsFollowModelStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		if broken := playModel(t, events); len(broken) > 0 {
			rt.Fatalf("%s", strings.Join(broken, "\n"))
		}
	})
}
