package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// rewriteDelay is how long after the store's return the lost changes are written again.
const rewriteDelay = 4 * time.Second

func TestRestoreDoesNotReviveRemovedServer(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
		c := f.snapshotStore()
		f.drain("model1")
		f.deleteEntry("model2")
		time.Sleep(1200 * time.Millisecond)
		if users := append(f.boxesUsing("model1", boxes), f.boxesUsing("model2", boxes)...); len(users) > 0 {
			t.Fatalf("before the restore %v use a server that had left", users)
		}
		f.restore(c, 500*time.Millisecond)
		fresh := f.restartSeed()
		for began, again := time.Now(), false; time.Since(began) < 12*time.Second; time.Sleep(10 * time.Millisecond) {
			if time.Since(began) > rewriteDelay && !again {
				f.drain("model1")
				f.deleteEntry("model2")
				again = true
			}
			for _, id := range []string{"model1", "model2"} {
				if users := f.boxesUsing(id, boxes); len(users) > 0 && (time.Since(began) > newBoxBound || !slices.Equal(users, []string{fresh})) {
					t.Fatalf("%s after the store's return %v use %s, which had left; %s has started since", time.Since(began), users, id, fresh)
				}
			}
		}
	})
}

// newBoxBound is how long after its start a box must know what the others do.
const newBoxBound = time.Second

// restartSeed restarts a seed and returns its name. Seeds read the store themselves right after their start.
func (f *testFleet) restartSeed() string {
	f.kill("box0")
	f.start("box0")
	return "box0"
}

func TestRelistedServerIsUsedAfterOneLease(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
		c := f.snapshotStore()
		f.deleteEntry("model2") // its entry lapsed; the write that renewed it is among the lost changes
		time.Sleep(time.Second)
		f.restore(c, 500*time.Millisecond)
		time.Sleep(10 * time.Second)
		if users := f.boxesUsing("model2", boxes); len(users) != boxes {
			t.Errorf("%d of %d boxes use a server whose entry has stood for 10 s since the restore", len(users), boxes)
		}
	})
}

func TestServerMissingFromRestoredStoreStaysUsable(t *testing.T) {
	for _, again := range []bool{true, false} {
		t.Run(fmt.Sprint("written again: ", again), func(t *testing.T) {
			forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
				c := f.snapshotStore()
				f.join("model9", "model")
				time.Sleep(time.Second)
				f.restore(c, 500*time.Millisecond)
				for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
					if users := f.boxesUsing("model9", boxes); len(users) != boxes {
						t.Fatalf("%s after the store's return %d of %d boxes use a server that had joined", time.Since(began), len(users), boxes)
					}
				}
				if again {
					f.join("model9", "model")
				}
				time.Sleep(6 * time.Second)
				want := 0
				if again {
					want = boxes
				}
				if users := f.boxesUsing("model9", boxes); len(users) != want {
					t.Errorf("%d of %d boxes use it later, want %d", len(users), boxes, want)
				}
			})
		})
	}
}

func TestEvacuationSurvivesRestore(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
		c := f.snapshotStore()
		f.evacuate([]string{"d"}, nil)
		time.Sleep(2 * time.Second)
		f.restore(c, 500*time.Millisecond)
		for _, after := range []time.Duration{0, 4 * time.Second} {
			time.Sleep(after)
			fresh := f.restartSeed()
			for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(50 * time.Millisecond) {
				if users := f.boxesUsing("model1", boxes); len(users) > 0 && (time.Since(began) > newBoxBound || !slices.Equal(users, []string{fresh})) {
					t.Fatalf("%s after %s has started %v use servers of an evacuated failure domain", time.Since(began), fresh, users)
				}
			}
		}
		f.evacuate([]string{"d"}, nil)
		time.Sleep(2 * time.Second)
		f.evacuate(nil, []string{"d"})
		time.Sleep(2 * time.Second)
		if users := f.boxesUsing("model1", boxes); len(users) != boxes {
			t.Errorf("%d of %d boxes use a failure domain whose evacuation was lifted", len(users), boxes)
		}
	})
}

func TestEvacuationLiftedRightAfterRestoreEnds(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
		c := f.snapshotStore()
		f.evacuate([]string{"d"}, nil)
		time.Sleep(2 * time.Second)
		f.restore(c, 500*time.Millisecond)
		time.Sleep(3 * time.Second)
		f.skipRevisions(1)
		f.evacuate(nil, []string{"d"}) // watchers see both as one change
		time.Sleep(2 * time.Second)
		if users := f.boxesUsing("model1", boxes); len(users) != boxes {
			t.Errorf("%d of %d boxes use a failure domain whose evacuation was lifted", len(users), boxes)
		}
	})
}

// versionRange returns the lowest and the highest version of the configuration that boxes hold.
func (f *testFleet) versionRange(boxes int) (least, most uint64) {
	for i := range boxes {
		v := f.box(fmt.Sprint("box", i)).Version()
		if i == 0 || v < least {
			least = v
		}
		most = max(most, v)
	}
	return least, most
}

func TestConfigurationDoesNotRevertOnRestore(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
		c := f.snapshotStore()
		f.publish(testCatalog(2))
		f.publish(testCatalog(3))
		time.Sleep(2 * time.Second)
		f.restore(c, 500*time.Millisecond)
		fresh := f.restartSeed()
		for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
			if least, _ := f.versionRange(boxes); least < 3 && time.Since(began) > newBoxBound {
				t.Fatalf("%s after the store's return a box holds version %d, 3 was in force; the restarted box holds %d", time.Since(began), least, f.box(fresh).Version())
			}
		}
		f.publish(testCatalog(3))
		time.Sleep(time.Second)
		f.publish(testCatalog(4))
		time.Sleep(2 * time.Second)
		if least, most := f.versionRange(boxes); least != 4 || most != 4 {
			t.Errorf("boxes hold versions %d to %d two seconds after 4 was accepted", least, most)
		}
	})
}

func TestEvacuationAppliesWithOlderRestoredConfiguration(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
		c := f.snapshotStore()
		f.publish(testCatalog(2))
		time.Sleep(2 * time.Second)
		f.restore(c, 500*time.Millisecond)
		time.Sleep(2 * time.Second)
		f.evacuate([]string{"d"}, nil)
		time.Sleep(2 * time.Second)
		if users := f.boxesUsing("model1", boxes); len(users) > 0 {
			t.Errorf("%d of %d boxes use an evacuated failure domain", len(users), boxes)
		}
		if least, _ := f.versionRange(boxes); least != 2 {
			t.Errorf("a box holds version %d, 2 was in force", least)
		}
	})
}

func TestConsecutiveRestores(t *testing.T) {
	for _, older := range []bool{false, true} {
		t.Run(fmt.Sprint("the second copy is older: ", older), func(t *testing.T) {
			forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
				first := f.snapshotStore()
				f.skipRevisions(10)
				second := f.snapshotStore()
				if older {
					first, second = second, first
				}
				f.drain("model1")
				f.deleteEntry("model2")
				f.join("model9", "model")
				f.publish(testCatalog(2))
				time.Sleep(2 * time.Second)
				f.restore(first, 500*time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
				f.restore(second, 500*time.Millisecond)
				check := func(ids ...string) {
					t.Helper()
					for _, id := range ids {
						if users := f.boxesUsing(id, boxes); len(users) > 0 {
							t.Fatalf("%v use %s, which has left", users, id)
						}
					}
				}
				for range 300 {
					check("model1", "model2")
					time.Sleep(10 * time.Millisecond)
				}
				f.drain("model1")
				f.deleteEntry("model2")
				f.join("model9", "model")
				f.publish(testCatalog(2))
				for range 600 {
					check("model1", "model2")
					time.Sleep(10 * time.Millisecond)
				}
				if users := f.boxesUsing("model9", boxes); len(users) != boxes {
					t.Errorf("%d of %d boxes use the server that had joined", len(users), boxes)
				}
				f.drain("model9")
				time.Sleep(dropBound)
				check("model1", "model2", "model9")
			})
		})
	}
}

func TestBoxCutOffDuringRestoreRevivesNothing(t *testing.T) {
	away := map[string]func(f *testFleet, box string, away bool){
		"cut off": func(f *testFleet, box string, away bool) {
			f.setLost(box, away)
			if away {
				f.refuseReads(func(b string) bool { return b == box })
			} else {
				f.refuseReads(nil)
			}
		},
		"cut off from boxes only": func(f *testFleet, box string, away bool) { f.setLost(box, away) },
	}
	for name, away := range away {
		t.Run(name, func(t *testing.T) {
			forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
				box := f.storeReaders()[0]
				c := f.snapshotStore()
				f.skipRevisions(40)
				time.Sleep(2 * time.Second)
				away(f, box, true)
				f.restore(c, 500*time.Millisecond)
				time.Sleep(3 * time.Second)
				f.drain("model1")
				f.deleteEntry("model2")
				time.Sleep(dropBound)
				away(f, box, false)
				for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
					for _, id := range []string{"model1", "model2"} {
						users := f.boxesUsing(id, boxes)
						if len(users) > 0 && (time.Since(began) > dropBound || !slices.Equal(users, []string{box})) {
							t.Fatalf("%s after the box returned %v use %s, which had left", time.Since(began), users, id)
						}
					}
				}
			})
		})
	}
}

func TestCallersAreServedDuringRestore(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, f *testFleet, boxes int) {
		f.spreadOverDomains()
		var mu sync.Mutex
		reached := map[string]int{}
		f.send = func(_ context.Context, _ string, c *Call) (*Reply, error) {
			if err := c.Start(); err != nil {
				return nil, err
			}
			mu.Lock()
			defer mu.Unlock()
			reached[c.Server.ID]++
			return textReply(http.StatusOK, "ok"), nil
		}
		c := f.snapshotStore()
		f.join("model9", "model")
		f.drain("model1")
		time.Sleep(2 * time.Second)
		var all sync.WaitGroup
		failed := 0
		for i := range 200 {
			if i == 20 {
				go f.restore(c, 500*time.Millisecond)
			}
			all.Go(func() {
				a := f.ask(fmt.Sprint("box", i%boxes), "/look/x", fmt.Sprint("r", i), func(r *Request) { r.Pieces = nil })
				if a.status != http.StatusOK {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		all.Wait()
		if failed > 0 || reached["model1"] > 0 {
			t.Errorf("%d of 200 callers were not answered, %d reached a server that had left", failed, reached["model1"])
		}
	})
}
