package experiment

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/load"
	"github.com/stilemast/stilemast/src/standin"
)

// Policy is a set of placement and admission rules that is compared with others over the same arrivals.
type Policy struct {
	Name        string
	Placement   core.Placer
	NoAdmission bool
	SingleBox   bool // one box decides for all, without stale state
}

// Policies returns the system's own policy and its baselines. "single-decider" is the system's policy on one
// box without stale state: it shares the policy's weaknesses, so it is no upper bound.
func Policies() []Policy {
	return []Policy{
		{Name: "stilemast", Placement: core.ExpectedFinish},
		{Name: "round-robin", Placement: core.RoundRobin, NoAdmission: true},
		{Name: "least-in-flight", Placement: core.LeastInFlight, NoAdmission: true},
		{Name: "two-choices", Placement: core.TwoChoices, NoAdmission: true},
		{Name: "first-come", Placement: core.ExpectedFinish, NoAdmission: true},
		{Name: "single-decider", Placement: core.ExpectedFinish, SingleBox: true},
	}
}

// Fault is a fault that is injected in the middle of a run.
type Fault struct {
	Name   string
	inject func(s *sim, start, end time.Duration)
}

// scheduleAt runs do after d. Called before the run, d is the time since its start.
func (s *sim) scheduleAt(d time.Duration, do func()) { s.schedule(d, do) }

// Faults returns the faults that can be injected; they last from a third to two thirds of the run.
// "quiet" injects none, and "burst" instead triples the arrival rate in the first quarter.
func Faults() []Fault {
	return []Fault{
		{Name: "quiet", inject: func(*sim, time.Duration, time.Duration) {}},
		{Name: "slow engine", inject: func(s *sim, a, b time.Duration) {
			v := s.firstServer(true)
			s.scheduleAt(a, func() { v.slowFactor = 6 })
			s.scheduleAt(b, func() { v.slowFactor = 1 })
		}},
		{Name: "failing server", inject: func(s *sim, a, b time.Duration) {
			v := s.firstServer(false)
			s.scheduleAt(a, func() { v.failing = true })
			s.scheduleAt(b, func() { v.failing = false })
		}},
		{Name: "failing engine", inject: func(s *sim, a, b time.Duration) {
			v := s.firstServer(true)
			s.scheduleAt(a, func() { v.failing = true })
			s.scheduleAt(b, func() { v.failing = false })
		}},
		{Name: "lost domain", inject: func(s *sim, a, b time.Duration) {
			s.scheduleAt(a, func() {
				for _, v := range s.sortedServers() {
					if v.cfg.Domain() == 1 {
						v.crash()
					}
				}
			})
			s.scheduleAt(b, func() {
				for _, v := range s.servers {
					v.down = false
				}
			})
		}},
		{Name: "killed box", inject: func(s *sim, a, _ time.Duration) {
			if len(s.boxes) > 1 {
				s.scheduleAt(a, s.boxes[0].crash)
			}
		}},
		{Name: "burst", inject: func(*sim, time.Duration, time.Duration) {}},
	}
}

// firstServer returns the first engine, or the first plain service, by name.
func (s *sim) firstServer(engine bool) *simServer {
	for _, v := range s.sortedServers() {
		if (v.model != nil) == engine {
			return v
		}
	}
	return nil
}

// sortedServers returns the servers by name, so that a seed always gives the same run.
func (s *sim) sortedServers() []*simServer {
	out := make([]*simServer, 0, len(s.servers))
	for _, v := range s.servers {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].cfg.Name() < out[j].cfg.Name() })
	return out
}

// Case describes one run.
type Case struct {
	Workload string
	Document *config.Document
	Boxes    int
	Load     float64 // arrival rate as a multiple of Capacity
	Duration time.Duration
	Fault    Fault
	Seed     uint64
	Policy   Policy
}

// Figures are the measurements of a run.
type Figures struct {
	Requests     int
	Attainment   float64            // share of requests that completed within their deadline
	Weighted     float64            // attainment weighted by the pipelines' weights
	Prompt       float64            // attainment of prompt requests
	MayWait      float64            // attainment of may-wait requests
	Goodput      float64            // requests completed within their deadline, per second
	Accepted     float64            // share of must-finish requests that were accepted
	MustFinished float64            // share of accepted must-finish requests that finished
	MustInTime   float64            // share of accepted must-finish requests that completed within their deadline
	Wasted       float64            // share of engine and service time whose result was not used
	Cached       float64            // share of prompt tokens found in prefix caches
	First95      time.Duration      // 95th percentile of the time to the first output of prompt requests
	Refused      map[string]int     // failed requests by pipeline and error code
	ByPipeline   map[string]float64 // attainment
	SecondsEach  float64            // engine and service seconds per request completed within its deadline
}

// Capacity returns the arrival rate, in requests per second, that fully uses the engines without cache hits.
func Capacity(w load.Workload, c *config.Config) float64 {
	cost := standin.DefaultEngineCost(1)
	secondsPerRequest := 0.0
	for _, k := range w.Kinds {
		p := c.Pipeline(k.Pipeline)
		last := p.Stages()[len(p.Stages())-1]
		if last.Kind() != config.Generate {
			continue
		}
		slots := float64(c.Pool(last.Pool())[0].Slots())
		step := cost.Step.Seconds()/slots + cost.PerSequence.Seconds()
		prompt := float64(k.TemplateBytes+k.UniqueBytes) / standin.TokenBytes
		secondsPerRequest += k.Share * (0.75*float64(last.MaxTokens())*step + prompt*cost.PerPrefillToken.Seconds())
	}
	engines := 0
	for _, b := range c.BackendServers() {
		if b.Model() != "" {
			engines++
		}
	}
	return float64(engines) / secondsPerRequest
}

// Run simulates one run.
func Run(c Case) (Figures, error) {
	conf, err := load.ParseDocument(c.Document)
	if err != nil {
		return Figures{}, err
	}
	w := load.Workloads[c.Workload]
	if c.Fault.Name == "burst" {
		w.Burst, w.BurstEvery = 3, c.Duration
	}
	boxes := c.Boxes
	if c.Policy.SingleBox {
		boxes = 1
	}
	var workspaces []string
	for _, d := range c.Document.Workspaces {
		workspaces = append(workspaces, d.Name)
	}
	plan := load.Plan(w, conf, workspaces, c.Load*Capacity(w, conf), c.Duration, c.Boxes, c.Seed)
	s := &sim{now: time.Unix(1_000_000, 0), config: conf, policy: c.Policy, servers: map[string]*simServer{}, rand: rand.New(rand.NewPCG(c.Seed, 3))}
	s.end = s.now.Add(c.Duration + drainTime)
	for _, b := range conf.BackendServers() {
		s.servers[b.Name()] = s.newServer(b)
	}
	for i := range boxes {
		s.boxes = append(s.boxes, s.newBox(i, boxes))
	}
	s.startPolling()
	c.Fault.inject(s, c.Duration/3, 2*c.Duration/3)
	s.outcomes = make([]outcome, len(plan))
	for i, a := range plan {
		s.outcomes[i].arrival = a
		s.scheduleAt(a.At, func() { s.pickBox(a).arrive(a, &s.outcomes[i], s.now.Add(a.Pipeline.Deadline())) })
	}
	s.run()
	return s.summarize(c.Duration), nil
}

// pickBox returns the box that the load balancer picks for an arrival, among those that run.
func (s *sim) pickBox(a load.Arrival) *simBox {
	if b := s.boxes[a.Box%len(s.boxes)]; !b.dead {
		return b
	}
	for i := range s.boxes {
		if b := s.boxes[(a.N+i)%len(s.boxes)]; !b.dead {
			return b
		}
	}
	return s.boxes[0]
}

// summarize computes the figures of a run. A request without a final answer counts as missed.
func (s *sim) summarize(length time.Duration) Figures {
	f := Figures{Requests: len(s.outcomes), Refused: map[string]int{}, ByPipeline: map[string]float64{}}
	count := map[string]float64{}
	var weight, weightIn, prompts, promptIn, mayWait, mayWaitIn, mustFinish, mustAccepted, mustDone, mustIn, inTime float64
	var firstOutputs []time.Duration
	for i := range s.outcomes {
		o := &s.outcomes[i]
		p := o.arrival.Pipeline
		whole := o.done && o.err == nil
		inDeadline := whole && o.latency <= p.Deadline()
		weight += p.Weight()
		if inDeadline {
			inTime++
			weightIn += p.Weight()
		}
		if p.Class() == config.Prompt {
			prompts++
			promptIn += boolToFloat(inDeadline)
			if o.firstOutput > 0 {
				firstOutputs = append(firstOutputs, o.firstOutput)
			}
		} else {
			mayWait++
			mayWaitIn += boolToFloat(inDeadline)
		}
		count[p.Name()]++
		f.ByPipeline[p.Name()] += boolToFloat(inDeadline)
		if o.err != nil {
			f.Refused[p.Name()+" "+o.err.Code.String()]++
		}
		if p.MustFinish() {
			mustFinish++
			accepted := o.err == nil || o.err.DidRun() != code.RanNo
			mustAccepted += boolToFloat(accepted)
			mustDone += boolToFloat(whole)
			mustIn += boolToFloat(inDeadline)
		}
	}
	for name, n := range count {
		f.ByPipeline[name] /= n
	}
	f.Attainment, f.Weighted = ratio(inTime, float64(len(s.outcomes))), ratio(weightIn, weight)
	f.Prompt, f.MayWait = ratio(promptIn, prompts), ratio(mayWaitIn, mayWait)
	f.Goodput = inTime / length.Seconds()
	f.Accepted, f.MustFinished, f.MustInTime = ratio(mustAccepted, mustFinish), ratio(mustDone, mustAccepted), ratio(mustIn, mustAccepted)
	s.addCosts(&f, inTime)
	if len(firstOutputs) > 0 {
		sort.Slice(firstOutputs, func(i, j int) bool { return firstOutputs[i] < firstOutputs[j] })
		f.First95 = firstOutputs[len(firstOutputs)*95/100]
	}
	return f
}

// addCosts sets the figures that depend on the servers' work.
func (s *sim) addCosts(f *Figures, inTime float64) {
	var total, wasted time.Duration
	var cached, computed int
	for _, b := range s.boxes {
		for _, c := range b.cost.Sums() {
			total += c.Engine
			wasted += c.WastedTime
			cached += c.Cached
			computed += c.Computed
		}
	}
	f.Wasted = ratio(wasted.Seconds(), total.Seconds())
	f.Cached = ratio(float64(cached), float64(cached+computed))
	f.SecondsEach = ratio(total.Seconds(), inTime)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// RunAll simulates the cases on a number of goroutines and returns their figures in the same order.
func RunAll(cases []Case, workers int) ([]Figures, error) {
	out := make([]Figures, len(cases))
	errs := make([]error, len(cases))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				out[i], errs[i] = Run(cases[i])
			}
		}()
	}
	for i := range cases {
		next <- i
	}
	close(next)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}
