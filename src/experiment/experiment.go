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

// Policy is one way to decide, compared with others over the same arrivals.
type Policy struct {
	Name        string
	Placement   core.Placer
	NoAdmission bool
	One         bool // a single decider with nothing stale: a baseline, no bound
}

// Policies are the system's own, its baselines, and a single decider, which shares the policy's weaknesses and so bounds nothing.
func Policies() []Policy {
	return []Policy{
		{Name: "stilemast", Placement: core.ExpectedFinish},
		{Name: "round-robin", Placement: core.RoundRobin, NoAdmission: true},
		{Name: "least-in-flight", Placement: core.LeastInFlight, NoAdmission: true},
		{Name: "two-choices", Placement: core.TwoChoices, NoAdmission: true},
		{Name: "first-come", Placement: core.ExpectedFinish, NoAdmission: true},
		{Name: "single-decider", Placement: core.ExpectedFinish, One: true},
	}
}

// Fault is something that goes wrong in the middle of a run.
type Fault struct {
	Name string
	hurt func(s *sim, start, end time.Duration)
}

// at has something done at a moment of the run.
func (s *sim) at(d time.Duration, do func()) { s.after(d, do) }

// Faults are what a run may suffer, from a third to two thirds of its time.
func Faults() []Fault {
	return []Fault{
		{Name: "quiet", hurt: func(*sim, time.Duration, time.Duration) {}},
		{Name: "slow engine", hurt: func(s *sim, a, b time.Duration) {
			v := s.first(true)
			s.at(a, func() { v.slow = 6 })
			s.at(b, func() { v.slow = 1 })
		}},
		{Name: "failing server", hurt: func(s *sim, a, b time.Duration) {
			v := s.first(false)
			s.at(a, func() { v.fails = true })
			s.at(b, func() { v.fails = false })
		}},
		{Name: "failing engine", hurt: func(s *sim, a, b time.Duration) {
			v := s.first(true)
			s.at(a, func() { v.fails = true })
			s.at(b, func() { v.fails = false })
		}},
		{Name: "lost domain", hurt: func(s *sim, a, b time.Duration) {
			s.at(a, func() {
				for _, v := range s.sorted() {
					if v.cfg.Domain() == 1 {
						v.fall()
					}
				}
			})
			s.at(b, func() {
				for _, v := range s.servers {
					v.down = false
				}
			})
		}},
		{Name: "killed box", hurt: func(s *sim, a, _ time.Duration) {
			if len(s.boxes) > 1 {
				s.at(a, s.boxes[0].die)
			}
		}},
		{Name: "burst", hurt: func(*sim, time.Duration, time.Duration) {}},
	}
}

// first is the first engine or plain service by name.
func (s *sim) first(engine bool) *simServer {
	for _, v := range s.sorted() {
		if (v.model != nil) == engine {
			return v
		}
	}
	return nil
}

func (s *sim) sorted() []*simServer {
	out := make([]*simServer, 0, len(s.servers))
	for _, v := range s.servers {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].cfg.Name() < out[j].cfg.Name() })
	return out
}

// Case is one run to be made.
type Case struct {
	Workload string
	Document *config.Document
	Boxes    int
	Load     float64 // of the capacity
	Length   time.Duration
	Fault    Fault
	Seed     uint64
	Policy   Policy
}

// Figures are what a run showed.
type Figures struct {
	Requests     int
	Attainment   float64 // share that finished whole in time
	Weighted     float64 // the same by the pipelines' weights
	Prompt       float64 // attainment of prompt requests
	MayWait      float64 // attainment of may-wait requests
	Goodput      float64 // finished whole in time, a second
	Accepted     float64 // share of must-finish requests that were accepted
	MustFinished float64 // share of accepted must-finish requests that finished
	MustInTime   float64 // share of accepted must-finish requests that finished in time
	Wasted       float64 // share of engine and service time spent for nothing
	Cached       float64 // share of prompt tokens that came from caches
	First95      time.Duration
	Refused      map[string]int
	ByPipeline   map[string]float64 // attainment
	SecondsEach  float64            // engine and service seconds for each request in time
}

// Capacity is the rate of a workload at which its engines are just busy, no cache helping.
func Capacity(w load.Workload, c *config.Config) float64 {
	cost := standin.DefaultEngineCost(1)
	each := 0.0
	for _, k := range w.Kinds {
		p := c.Pipeline(k.Pipeline)
		last := p.Stages()[len(p.Stages())-1]
		if last.Kind() != config.Generate {
			continue
		}
		slots := float64(c.Pool(last.Pool())[0].Slots())
		step := cost.Step.Seconds()/slots + cost.PerRunning.Seconds()
		prompt := float64(k.TemplateBytes+k.UniqueBytes) / standin.TokenBytes
		each += k.Share * (0.75*float64(last.MaxTokens())*step + prompt*cost.PerPrefill.Seconds())
	}
	engines := 0
	for _, b := range c.BackendServers() {
		if b.Model() != "" {
			engines++
		}
	}
	return float64(engines) / each
}

// Play makes one run.
func Play(x Case) (Figures, error) {
	c, err := load.ParseDocument(x.Document)
	if err != nil {
		return Figures{}, err
	}
	w := load.Workloads[x.Workload]
	if x.Fault.Name == "burst" {
		w.Burst, w.BurstEvery = 3, x.Length
	}
	boxes := x.Boxes
	if x.Policy.One {
		boxes = 1
	}
	var spaces []string
	for _, d := range x.Document.Workspaces {
		spaces = append(spaces, d.Name)
	}
	plan := load.Plan(w, c, spaces, x.Load*Capacity(w, c), x.Length, x.Boxes, x.Seed)
	s := &sim{now: time.Unix(1_000_000, 0), conf: c, policy: x.Policy, servers: map[string]*simServer{}, rand: rand.New(rand.NewPCG(x.Seed, 3))}
	s.end = s.now.Add(x.Length + afterwards)
	for _, b := range c.BackendServers() {
		s.servers[b.Name()] = s.newServer(b)
	}
	for i := range boxes {
		s.boxes = append(s.boxes, s.newBox(i, boxes))
	}
	s.watch()
	x.Fault.hurt(s, x.Length/3, 2*x.Length/3)
	s.out = make([]outcome, len(plan))
	for i, a := range plan {
		s.out[i].arrival = a
		s.at(a.At, func() { s.balance(a).arrive(a, &s.out[i], s.now.Add(a.Pipeline.Deadline())) })
	}
	s.run()
	return s.figures(x.Length), nil
}

// balance picks the box that the platform's balancer would, over those that live.
func (s *sim) balance(a load.Arrival) *simBox {
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

// figures sums a run. A request that never got its final answer counts as not attained.
func (s *sim) figures(length time.Duration) Figures {
	f := Figures{Requests: len(s.out), Refused: map[string]int{}, ByPipeline: map[string]float64{}}
	count := map[string]float64{}
	var weight, got, prompts, promptsIn, may, mayIn, must, mustOK, mustDone, mustIn, inTime float64
	var firsts []time.Duration
	for i := range s.out {
		o := &s.out[i]
		p := o.arrival.Pipeline
		whole := o.done && o.err == nil
		in := whole && o.took <= p.Deadline()
		weight += p.Weight()
		if in {
			inTime++
			got += p.Weight()
		}
		if p.Class() == config.Prompt {
			prompts++
			promptsIn += one(in)
			if o.first > 0 {
				firsts = append(firsts, o.first)
			}
		} else {
			may++
			mayIn += one(in)
		}
		count[p.Name()]++
		f.ByPipeline[p.Name()] += one(in)
		if o.err != nil {
			f.Refused[p.Name()+" "+o.err.Code.String()]++
		}
		if p.MustFinish() {
			must++
			accepted := o.err == nil || o.err.DidRun() != code.RanNo
			mustOK += one(accepted)
			mustDone += one(whole)
			mustIn += one(in)
		}
	}
	for name, n := range count {
		f.ByPipeline[name] /= n
	}
	f.Attainment, f.Weighted = ratio(inTime, float64(len(s.out))), ratio(got, weight)
	f.Prompt, f.MayWait = ratio(promptsIn, prompts), ratio(mayIn, may)
	f.Goodput = inTime / length.Seconds()
	f.Accepted, f.MustFinished, f.MustInTime = ratio(mustOK, must), ratio(mustDone, mustOK), ratio(mustIn, mustOK)
	s.costs(&f, inTime)
	if len(firsts) > 0 {
		sort.Slice(firsts, func(i, j int) bool { return firsts[i] < firsts[j] })
		f.First95 = firsts[len(firsts)*95/100]
	}
	return f
}

func (s *sim) costs(f *Figures, inTime float64) {
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

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// PlayAll makes many runs at once, on a bounded number of goroutines, in the order given.
func PlayAll(cases []Case, workers int) ([]Figures, error) {
	out := make([]Figures, len(cases))
	errs := make([]error, len(cases))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				out[i], errs[i] = Play(cases[i])
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
