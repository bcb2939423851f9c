package spokefeed_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokefeed"
)

const (
	simulatedServers = 40
	simulationLength = 40 * time.Second
	// settleTime is above all timeouts and faults.
	settleTime    = 40 * time.Second
	checkInterval = 50 * time.Millisecond
)

type leavingCase struct {
	Name        string            `yaml:"name"`
	Instances   int               `yaml:"instances"`
	News        spokeclock.Millis `yaml:"news_millis"`
	Recovery    spokeclock.Millis `yaml:"recovery_millis"`
	DirectPause spokeclock.Millis `yaml:"direct_pause_millis"`
	Faults      []string          `yaml:"faults"`
	// LeaveTogether lets more than a third of the servers leave at once now and then.
	LeaveTogether bool `yaml:"leave_together"`
	Seeds         int  `yaml:"seeds"`
}

func (c leavingCase) bounds() spokefeed.Bounds {
	return spokefeed.Bounds{News: c.News, Recovery: c.Recovery}
}

// TestLeavingServers guards against requests to a server that left more than the allowed
// time ago, at an instance that has had no fault for the time to recover.
func TestLeavingServers(t *testing.T) {
	for _, c := range spokecase.Read[[]leavingCase](t, "testdata/leaving_servers.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			for seed := range c.Seeds {
				synctest.Test(t, func(t *testing.T) {
					if found := c.run(uint64(seed)); found != "" {
						t.Errorf("seed %d: %s", seed, found)
					}
				})
			}
		})
	}
}

// run returns the first violation, or an empty text.
func (c leavingCase) run(seed uint64) string {
	s := &simulation{scenario: c, table: newSimulatedTable(), start: time.Now(), leftAt: make(map[string]time.Time)}
	for n := range simulatedServers {
		s.table.set(serverName(n), stateReady)
	}
	for n := range c.Instances {
		s.instances = append(s.instances, &simulatedInstance{name: fmt.Sprintf("i%02d", n), simulation: s, changed: make(chan struct{}), changedAt: time.Now()})
	}
	for _, i := range s.instances {
		i.start()
	}
	go s.injectFaults(rand.New(rand.NewPCG(seed, 1)))
	go s.removeServers(rand.New(rand.NewPCG(seed, 2)))
	found := ""
	for time.Since(s.start) < simulationLength && found == "" {
		time.Sleep(checkInterval)
		found = s.findViolation()
	}
	time.Sleep(simulationLength + settleTime)
	for _, i := range s.instances {
		i.halt()
	}
	time.Sleep(settleTime)
	return found
}

func serverName(n int) string { return "server-" + strconv.Itoa(n) }

// injectFaults lets faults of up to nine seconds begin, which may overlap.
func (s *simulation) injectFaults(random *rand.Rand) {
	for time.Since(s.start) < simulationLength {
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
		fault := s.scenario.Faults[random.IntN(len(s.scenario.Faults))]
		length := time.Duration(300+random.IntN(9000)) * time.Millisecond
		if fault == "store_down" {
			isSilent := random.IntN(2) == 0
			for _, i := range s.instances {
				go i.suffer("turned_away", length, 0, isSilent)
			}
			continue
		}
		for range 1 + random.IntN(6) {
			candidates := s.instances
			if random.IntN(2) == 0 {
				candidates = candidates[:simulatedReaders+1]
			}
			i := candidates[random.IntN(len(candidates))]
			delay := time.Duration(random.IntN(300)) * time.Millisecond
			isSilent := random.IntN(2) == 0
			go i.suffer(fault, length, delay, isSilent)
		}
	}
}

// suffer lets an instance have a fault.
func (i *simulatedInstance) suffer(fault string, length, delay time.Duration, isSilent bool) {
	switch fault {
	case "turned_away":
		i.update(func(s *instanceState) { s.isTurnedAway, s.isIgnored = !isSilent, isSilent })
		time.Sleep(length)
		i.update(func(s *instanceState) { s.isTurnedAway, s.isIgnored = false, false })
	case "frozen":
		i.update(func(s *instanceState) { s.isFrozen = true })
		time.Sleep(length)
		i.update(func(s *instanceState) { s.isFrozen = false })
	case "cut_off":
		i.update(func(s *instanceState) { s.isCutOff = true })
		time.Sleep(length)
		i.update(func(s *instanceState) { s.isCutOff = false })
	case "slow":
		i.update(func(s *instanceState) { s.delay = delay })
		time.Sleep(length)
		i.update(func(s *instanceState) { s.delay = 0 })
	case "silent_calls":
		i.update(func(s *instanceState) { s.silencedCalls++ })
	case "stopped":
		wasStopped := false
		i.update(func(s *instanceState) { wasStopped, s.isStopped = s.isStopped, true })
		if wasStopped {
			return
		}
		i.halt()
		time.Sleep(min(length, time.Second))
		i.update(func(s *instanceState) { s.isStopped = false })
		i.start()
	}
}

// removeServers lets servers leave, each replaced by another.
func (s *simulation) removeServers(random *rand.Rand) {
	for next := 0; time.Since(s.start) < simulationLength; {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		count, isSilent := 1, random.IntN(3) == 0
		if s.scenario.LeaveTogether && random.IntN(20) == 0 {
			count, isSilent = 15+random.IntN(10), true
		}
		for range count {
			s.removeServer(next, isSilent)
			next++
		}
	}
}

// removeServer lets a server leave: its row disappears, or says so and disappears later.
func (s *simulation) removeServer(n int, isSilent bool) {
	s.table.set(serverName(n+simulatedServers), stateReady)
	s.table.mutex.Lock()
	s.leftAt[serverName(n)] = time.Now()
	s.table.mutex.Unlock()
	if isSilent {
		s.table.set(serverName(n), "")
		return
	}
	s.table.set(serverName(n), stateLeaving)
	time.AfterFunc(s.scenario.News.Duration()+time.Second, func() { s.table.set(serverName(n), "") })
}

// findViolation returns which sound instance has a server that left too long ago.
func (s *simulation) findViolation() string {
	for _, i := range s.instances {
		rows := i.soundRows(s.scenario.Recovery.Duration())
		s.table.mutex.Lock()
		for server, leftAt := range s.leftAt {
			if age := time.Since(leftAt); age > s.scenario.News.Duration() && string(rows[server].Value) == stateReady {
				s.table.mutex.Unlock()
				return fmt.Sprintf("at %v %s uses %s, which left %v before", time.Since(s.start), i.name, server, age)
			}
		}
		s.table.mutex.Unlock()
	}
	return ""
}
