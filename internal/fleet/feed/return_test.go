package feed_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/feed"
)

const (
	// returnTargets is the number of targets whose heartbeats raise the revision of the store.
	returnTargets = 40
	// applyTimeout is the time within which each host must know a change.
	applyTimeout = 3 * time.Second
)

// TestChangeAfterReturnFromCopyReachesAllHosts guards against followers that miss what is
// written after the store came back from a copy: the revisions are given out again and are
// not above the one that the followers know (review/11).
func TestChangeAfterReturnFromCopyReachesAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 2, 9, 300} {
		for name, noGone := range map[string]bool{"behind": false, "passed": true} {
			t.Run(fmt.Sprint(hosts, name), func(t *testing.T) {
				inBubble(t, func(t *testing.T, ctx context.Context) {
					s := newStore(returnTargets)
					go s.beat(ctx)
					fl := startFleet(ctx, s, hosts)
					before := fl.lists()
					s.drill(5*time.Second, time.Second, func() {})
					s.write("early", "x")
					if noGone {
						// The revisions pass the known ones before any host calls the store again.
						for range 1000 {
							s.write("filler", "x")
						}
					}
					time.Sleep(time.Second)
					s.write("manifest", "2")
					s.write("evacuated", "a")
					time.Sleep(applyTimeout)
					assert.Empty(t, fl.lagging("early", "x"))
					assert.Empty(t, fl.lagging("manifest", "2"))
					assert.Empty(t, fl.lagging("evacuated", "a"))
					for n, lists := range fl.lists() {
						assert.LessOrEqual(t, lists-before[n], 1, "host %d", n)
						assert.True(t, n == 0 || lists == before[n], "only the reader lists the items, not host %d", n)
					}
				})
			})
		}
	}
}

// TestLostItemIsWrittenAgain guards against hosts that ignore an item because they know a later
// revision of it, which the store has lost (review/12).
func TestLostItemIsWrittenAgain(t *testing.T) {
	for _, hosts := range []int{1, 9} {
		inBubble(t, func(t *testing.T, ctx context.Context) {
			s := newStore(returnTargets)
			s.write("removed-before", "x")
			s.write("written-before", "x")
			go s.beat(ctx)
			fl := startFleet(ctx, s, hosts)
			s.drill(2*time.Second, time.Second, func() {
				time.Sleep(time.Second)
				s.write("manifest", "2")
				s.write("removed-before", "")
				s.write("lost", "x")
			})
			s.write("manifest", "3")
			time.Sleep(applyTimeout)
			assert.Empty(t, fl.lagging("manifest", "3"))
			assert.Empty(t, fl.lagging("lost", ""), "what the copy lacks is gone")
			assert.Empty(t, fl.lagging("removed-before", "x"), "what the copy has is there")
			assert.Empty(t, fl.lagging("written-before", "x"))
		})
	}
}

// TestHeartbeatConfirmsRevivedItem guards against followers that never learn that an item which
// they took for deleted, and which the copy has again, is being written: it changes nothing but
// its heartbeat.
func TestHeartbeatConfirmsRevivedItem(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		s := newStore(returnTargets)
		s.heartbeat("revived")
		fl := startFleet(ctx, s, 3)
		s.drill(3*time.Second, time.Second, func() { s.write("revived", "") })
		time.Sleep(applyTimeout)
		s.heartbeat("revived")
		value := string(s.copyContent().items["revived"].Value)
		time.Sleep(applyTimeout)
		assert.Empty(t, fl.lagging("revived", value))
	})
}

// TestSecondReturnWithinSeconds has the store come back from a copy twice, the second time
// before all hosts have read the first era.
func TestSecondReturnWithinSeconds(t *testing.T) {
	for gap := 50 * time.Millisecond; gap < 4*time.Second; gap += 350 * time.Millisecond {
		t.Run(gap.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				s := newStore(returnTargets)
				go s.beat(ctx)
				fl := startFleet(ctx, s, 9)
				old := s.copyContent()
				s.drill(4*time.Second, time.Second, func() {})
				s.write("manifest", "2")
				time.Sleep(gap)
				s.setFaults(true, false)
				time.Sleep(500 * time.Millisecond)
				s.returnFrom(old)
				s.write("manifest", "3")
				time.Sleep(applyTimeout)
				assert.Empty(t, fl.lagging("manifest", "3"))
			})
		})
	}
}

// TestReaderIsKilledAsStoreReturns kills the reader before, while and after it reads the new
// era, so that its successor starts from any of these states.
func TestReaderIsKilledAsStoreReturns(t *testing.T) {
	for delay := -time.Second; delay < 2*time.Second; delay += 190 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				s := newStore(returnTargets)
				go s.beat(ctx)
				fl := startFleet(ctx, s, 9)
				reader := fl.all()[0]
				go func() {
					time.Sleep(6*time.Second + delay)
					fl.kill(reader)
				}()
				s.drill(5*time.Second, time.Second, func() {})
				s.write("manifest", "2")
				time.Sleep(max(0, delay) + applyTimeout)
				assert.Empty(t, fl.lagging("manifest", "2"))
			})
		})
	}
}

// TestHostStartsAsStoreReturns starts hosts while the store is away and after its return. They
// and all others must follow the new era.
func TestHostStartsAsStoreReturns(t *testing.T) {
	for delay := -time.Second; delay < time.Second; delay += 130 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				s := newStore(returnTargets)
				go s.beat(ctx)
				fl := startFleet(ctx, s, 3)
				go func() {
					time.Sleep(4*time.Second + delay)
					fl.start()
				}()
				s.drill(3*time.Second, time.Second, func() {})
				time.Sleep(time.Second)
				s.write("manifest", "2")
				time.Sleep(applyTimeout)
				assert.Len(t, fl.all(), 4)
				assert.Empty(t, fl.lagging("manifest", "2"))
			})
		})
	}
}

// TestReaderCutOffWhileStoreReturns has the store refuse the reader from before the return on.
// The others must not wait for it for good.
func TestReaderCutOffWhileStoreReturns(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		s := newStore(returnTargets)
		go s.beat(ctx)
		fl := startFleet(ctx, s, 9)
		s.drill(5*time.Second, 1500*time.Millisecond, func() { fl.all()[0].client.setCut(true) })
		time.Sleep(4 * time.Second)
		s.write("manifest", "2")
		time.Sleep(applyTimeout)
		assert.Empty(t, fl.lagging("manifest", "2"))
	})
}

// TestHostOfEarlierVersionIsNotTakenOver has a host get updates without an era, as hosts send
// them that know of none, from one that has seen later revisions of a lost era.
func TestHostOfEarlierVersionIsNotTakenOver(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		s := newStore(1)
		old := &store{content: content{items: map[string]feed.Item{}}}
		for range 50 {
			old.write("manifest", "0")
		}
		earlier := follow(ctx, old, &peer{})
		time.Sleep(10 * time.Millisecond)
		f := follow(ctx, s, &peer{feed: &earlier.Feed, reader: true})
		time.Sleep(10 * time.Millisecond)
		for n := 2; n < 9; n++ {
			s.write("manifest", fmt.Sprint(n))
			time.Sleep(applyTimeout)
			assert.Equal(t, fmt.Sprint(n), f.sink.get("manifest"))
		}
		update, ok := f.UpdateSince(time.Now(), feed.Request{After: feed.At(0, 2), AnyEra: true})
		assert.True(t, ok)
		assert.False(t, update.Full, "its request counts in the era of the host that replies")
		assert.Len(t, update.Items, 1)
	})
}

// TestAnswerOfEarlierEraIsIgnored has the store state an earlier era, or none, for a while.
func TestAnswerOfEarlierEraIsIgnored(t *testing.T) {
	for _, era := range []int64{0, 3} {
		inBubble(t, func(t *testing.T, ctx context.Context) {
			s := newStore(1)
			s.era = 7
			fl := startFleet(ctx, s, 2)
			s.setEra(era)
			s.write("manifest", "lost")
			time.Sleep(3 * time.Second)
			assert.Equal(t, []int{0, 1}, fl.lagging("manifest", "lost"))
			s.setEra(7)
			s.write("manifest", "2")
			time.Sleep(applyTimeout)
			assert.Empty(t, fl.lagging("manifest", "2"))
		})
	}
}
