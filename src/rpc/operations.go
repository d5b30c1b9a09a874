package rpc

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/box"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
)

// Operations implements the gRPC service for operators. Set its fields before registering it.
type Operations struct {
	pb.UnimplementedOperationsServer
	Box       *box.Box
	BeginStop func() int // begins a graceful shutdown of the process; returns the number of running requests
}

// authorize returns a gRPC error if the caller is not an operator.
func (o *Operations) authorize(ctx context.Context) error {
	if err := principalOf(ctx).mayOperate(o.Box.Settings.Operators); err != nil {
		return Status(err, false)
	}
	return nil
}

// Validate checks a configuration and returns its faults.
func (o *Operations) Validate(ctx context.Context, r *pb.ValidateRequest) (*pb.ValidateReply, error) {
	if err := o.authorize(ctx); err != nil {
		return nil, err
	}
	c, faults := config.Parse(r.GetConfiguration())
	reply := &pb.ValidateReply{Faults: pbFaults(faults)}
	if c != nil {
		reply.Version = c.Version()
	}
	return reply, nil
}

func pbFaults(faults config.Faults) []*pb.Fault {
	out := make([]*pb.Fault, len(faults))
	for i, f := range faults {
		out[i] = &pb.Fault{Code: uint32(f.Code), Field: f.Field, Message: f.Message}
	}
	return out
}

// Plan returns the differences between the configuration in force and a new one.
func (o *Operations) Plan(ctx context.Context, r *pb.PlanRequest) (*pb.PlanReply, error) {
	if err := o.authorize(ctx); err != nil {
		return nil, err
	}
	next, faults := config.Parse(r.GetConfiguration())
	reply := &pb.PlanReply{Faults: pbFaults(faults)}
	now := o.Box.Config()
	if now != nil {
		reply.FromVersion = now.Version()
	}
	if next == nil {
		return reply, nil
	}
	reply.ToVersion = next.Version()
	for _, c := range config.Plan(now, next) {
		reply.Changes = append(reply.Changes, &pb.Change{Subject: c.Subject, Before: c.Before, After: c.After})
	}
	return reply, nil
}

// Status returns the state of this box and its view of other boxes and backend servers.
func (o *Operations) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusReply, error) {
	if err := o.authorize(ctx); err != nil {
		return nil, err
	}
	s := o.Box.Status()
	r := &pb.StatusReply{
		Box: o.Box.ID.Name, Incarnation: o.Box.ID.Incarnation, Version: o.Box.Release, Ready: s.Ready, Draining: s.Draining,
		ConfigVersion: s.Config.Version, ConfigDigest: s.Config.Digest, ConfigConfirmedAge: durationpb.New(s.Config.Age),
		ConfigConflictVersion: s.Conflict, ConfigRefusal: s.Refusal, ListConfirmedAge: durationpb.New(s.List.Age),
		Running: uint32(s.Running), Waiting: uint32(s.Waiting), LedgerEntries: uint32(s.LedgerEntries),
	}
	for i := range s.Members {
		r.Members = append(r.Members, memberStatus(&s.Members[i], s.At))
	}
	for _, v := range s.Servers {
		r.BackendServers = append(r.BackendServers, serverStatus(v, s.At))
	}
	return r, nil
}

func memberStatus(m *core.Member, now time.Time) *pb.MemberStatus {
	return &pb.MemberStatus{
		Box: m.ID().Name, Incarnation: m.ID().Incarnation, FailureDomain: m.FailureDomain(), State: m.State().String(),
		Listed: m.Listed(), Age: age(now, m.LastAnswer()), ConfigVersion: m.Version(),
	}
}

func serverStatus(v core.ServerView, now time.Time) *pb.BackendStatus {
	state := "serving"
	switch {
	case v.Leaving:
		state = "leaving"
	case v.Resting:
		state = "resting"
	case v.ReportAt.IsZero():
		state = "unheard"
	}
	return &pb.BackendStatus{
		BackendServer: v.Name, FailureDomain: v.Config.FailureDomain(), State: state, InFlight: uint32(v.InFlight),
		Window: uint32(v.Window), ReportAge: age(now, v.ReportAt), ErrorShare: v.FailShare,
	}
}

// age returns the time since an event, -1 s if it never happened.
func age(now, at time.Time) *durationpb.Duration {
	if at.IsZero() {
		return durationpb.New(-time.Second)
	}
	return durationpb.New(now.Sub(at))
}

// Drain begins a graceful shutdown.
func (o *Operations) Drain(ctx context.Context, _ *pb.DrainRequest) (*pb.DrainReply, error) {
	if err := o.authorize(ctx); err != nil {
		return nil, err
	}
	return &pb.DrainReply{Running: uint32(o.BeginStop())}, nil
}

// Explain returns how a recent request was placed on backend servers.
func (o *Operations) Explain(ctx context.Context, r *pb.ExplainRequest) (*pb.ExplainReply, error) {
	if err := o.authorize(ctx); err != nil {
		return nil, err
	}
	e, ok := o.Box.Explain(r.GetKey())
	if !ok {
		return nil, Status(code.New(code.NotFound, "key", "box %s has no record of such a request", o.Box.ID.Name), false)
	}
	reply := &pb.ExplainReply{Key: e.Key, Box: o.Box.ID.Name, Outcome: e.Outcome}
	for _, p := range e.Placements {
		reply.Placements = append(reply.Placements, placement(p))
	}
	return reply, nil
}

func placement(p core.Placement) *pb.Placement {
	out := &pb.Placement{
		Stage: p.Stage, Attempt: uint32(p.N), Chosen: p.Server, Waited: durationpb.New(p.Waited),
		Served: durationpb.New(p.Served), Outcome: p.Outcome,
	}
	for _, c := range p.Candidates {
		out.Candidates = append(out.Candidates, &pb.Candidate{
			BackendServer: c.Server, PassedOver: c.PassedOver, ExpectedFinish: durationpb.New(c.Expected),
		})
	}
	return out
}

// CostByStage returns the resources that each stage has consumed since the start of the box.
func (o *Operations) CostByStage(ctx context.Context, _ *pb.CostByStageRequest) (*pb.CostByStageReply, error) {
	if err := o.authorize(ctx); err != nil {
		return nil, err
	}
	reply := &pb.CostByStageReply{}
	for _, c := range o.Box.Cost() {
		reply.Stages = append(reply.Stages, &pb.StageCost{
			Pipeline: c.Pipeline, Class: c.Class.String(), Stage: c.Stage, Calls: uint64(c.Calls), Retries: uint64(c.Retries),
			EngineSeconds: c.Engine.Seconds(), ComputedTokens: uint64(c.Computed), CachedTokens: uint64(c.Cached),
			GeneratedTokens: uint64(c.Generated), WastedTokens: uint64(c.WastedTokens), WastedSeconds: c.WastedTime.Seconds(),
		})
	}
	return reply, nil
}

// Burn returns the burn rates of the error budgets of the service levels.
func (o *Operations) Burn(ctx context.Context, _ *pb.BurnRequest) (*pb.BurnReply, error) {
	if err := o.authorize(ctx); err != nil {
		return nil, err
	}
	reply := &pb.BurnReply{}
	for _, b := range o.Box.Burn() {
		reply.Windows = append(reply.Windows, &pb.BurnWindow{
			Level: b.Level, Class: b.Class, Window: durationpb.New(b.Window), Good: uint64(b.Good), Total: uint64(b.Total),
			Objective: b.Objective, Burn: b.Rate,
		})
	}
	return reply, nil
}
