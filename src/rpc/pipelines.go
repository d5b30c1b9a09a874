package rpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/box"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// Pipelines implements the gRPC service for callers. Set its fields before registering it.
type Pipelines struct {
	pb.UnimplementedPipelinesServer
	Box *box.Box
}

// authorize returns an error if the caller may not use a workspace.
func (p *Pipelines) authorize(ctx context.Context, workspace string) *code.Error {
	return principalOf(ctx).mayUse(p.Box.Config(), workspace, p.Box.Settings.Callers.Anyone)
}

// Run runs a request and streams its answer.
func (p *Pipelines) Run(r *pb.RunRequest, out grpc.ServerStreamingServer[pb.RunEvent]) error {
	if err := p.authorize(out.Context(), r.GetWorkspace()); err != nil {
		return Status(err, false)
	}
	if r.GetDeadline() != nil && r.GetDeadline().CheckValid() != nil {
		return Status(code.New(code.BadDeadline, "deadline", "not a valid duration"), true)
	}
	s := &sender{out: out}
	err := p.Box.Serve(out.Context(), box.Request{
		Workspace: r.GetWorkspace(), Pipeline: r.GetPipeline(), Key: r.GetKey(), Input: r.GetInput(),
		Deadline: r.GetDeadline().AsDuration(), MaxTokens: int(r.GetMaxTokens()),
	}, s.emit)
	return s.result(err)
}

// Attach streams the answer of a running or finished request again, from an offset.
func (p *Pipelines) Attach(r *pb.AttachRequest, out grpc.ServerStreamingServer[pb.RunEvent]) error {
	if err := p.authorize(out.Context(), r.GetWorkspace()); err != nil {
		return Status(err, false)
	}
	if r.GetOffset() > 1<<40 {
		return Status(code.New(code.BadOffset, "offset", "too large"), false)
	}
	s := &sender{out: out}
	return s.result(p.Box.Attach(out.Context(), r.GetWorkspace(), r.GetAttachToken(), int(r.GetOffset()), s.emit))
}

// Cancel stops a running request.
func (p *Pipelines) Cancel(ctx context.Context, r *pb.CancelRequest) (*pb.CancelReply, error) {
	if err := p.authorize(ctx, r.GetWorkspace()); err != nil {
		return nil, Status(err, false)
	}
	stopped, err := p.Box.Cancel(ctx, r.GetWorkspace(), r.GetAttachToken())
	if err != nil {
		return nil, Status(err, false)
	}
	return &pb.CancelReply{Stopped: stopped}, nil
}

// IssueTickets returns new tickets, which are keys of requests bound to this box.
func (p *Pipelines) IssueTickets(ctx context.Context, r *pb.IssueTicketsRequest) (*pb.IssueTicketsReply, error) {
	if err := p.authorize(ctx, r.GetWorkspace()); err != nil {
		return nil, Status(err, false)
	}
	tickets, err := p.Box.IssueTickets(r.GetWorkspace(), int(r.GetCount()))
	if err != nil {
		return nil, Status(err, true)
	}
	return &pb.IssueTicketsReply{Tickets: tickets}, nil
}

// sender converts the events of a box into gRPC messages, and keeps the end event.
type sender struct {
	out grpc.ServerStreamingServer[pb.RunEvent]
	end *port.End
}

// emit sends one event. An end event with an error is only kept; result returns it.
func (s *sender) emit(e port.ForwardEvent) error {
	switch {
	case e.Accepted != nil:
		return s.out.Send(&pb.RunEvent{Event: &pb.RunEvent_Accepted{Accepted: &pb.Accepted{
			AttachToken: e.Accepted.Token.String(), Key: e.Accepted.Token.Key.String(),
			Box: e.Accepted.Token.Holder.Name, ConfigVersion: e.Accepted.ConfigVersion,
		}}})
	case e.Chunk != nil:
		return s.out.Send(&pb.RunEvent{Event: &pb.RunEvent_Chunk{Chunk: &pb.Chunk{
			Offset: uint64(e.Chunk.Offset), Data: e.Chunk.Data,
		}}})
	case e.End != nil:
		s.end = e.End
		if e.End.Err == nil {
			return s.out.Send(&pb.RunEvent{Event: &pb.RunEvent_Finished{Finished: &pb.Finished{
				Length: uint64(e.End.Length), Stages: stageUses(e.End.Uses),
			}}})
		}
	}
	return nil
}

// result returns the gRPC error of the call: that of the end event, or the failure of the stream itself.
func (s *sender) result(err error) error {
	if s.end != nil && s.end.Err != nil {
		return Status(s.end.Err, s.end.MayRepeat)
	}
	if err != nil && s.end == nil {
		return Status(code.New(code.AnswerInterrupted, "", "%v", err).WithRan(code.RanUnknown), false)
	}
	return nil
}

func stageUses(uses []core.StageUse) []*pb.StageUse {
	out := make([]*pb.StageUse, len(uses))
	for i, u := range uses {
		out[i] = &pb.StageUse{
			Stage: u.Stage, BackendServer: u.Server, Attempts: uint32(u.Attempts),
			Waited: durationpb.New(u.Waited), Served: durationpb.New(u.Served),
			ComputedTokens: uint64(u.Use.ComputedTokens), CachedTokens: uint64(u.Use.CachedTokens),
			GeneratedTokens: uint64(u.Use.GeneratedTokens),
		}
	}
	return out
}

// Status returns the gRPC error for an error with a result code. Its details contain the Result.
func Status(e *code.Error, mayRepeat bool) error {
	entry := e.Code.Entry()
	st := status.New(entry.GRPC, e.Error())
	r := &pb.Result{
		Code: uint32(e.Code), Name: entry.Name, Ran: pb.Ran(e.DidRun()), Field: e.Field, Message: e.Message,
		SameKey: e.SameKey(), MayRepeat: mayRepeat,
	}
	if e.RetryAfter > 0 {
		r.RetryAfter = durationpb.New(e.RetryAfter)
	}
	if with, err := st.WithDetails(r); err == nil {
		st = with
	}
	return st.Err()
}

// ResultOf returns the Result in the details of a gRPC error, or nil.
func ResultOf(err error) *pb.Result {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*pb.Result); ok {
			return r
		}
	}
	return nil
}
