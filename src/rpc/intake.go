package rpc

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/intake"
)

// streamWindow is what a caller may send on a stream before its message is read, in bytes; see RFC 9113, section 6.9.2.
const streamWindow = 64 << 10

// connectionWindow is what the streams of a connection may send together before it is taken off the connection, in bytes.
const connectionWindow = 1 << 20

// Intake bounds the messages of callers that have not arrived, for all callers together. Streams are refused by their head where it
// decides. Set the exported fields before use.
type Intake struct {
	Account     *intake.Account
	MaxMessage  int                                                  // bytes
	MessageTime time.Duration                                        // for a message to arrive
	Authorize   func(ctx context.Context, method string) *code.Error // decides on a call by its head
	Log         *slog.Logger

	unread  atomic.Int64 // streams whose message is not read yet
	refused atomic.Int64
}

// Refused returns the number of streams that were refused since the start because too many were unread.
func (i *Intake) Refused() int64 { return i.refused.Load() }

// Options returns the options of a server whose messages are bounded.
func (i *Intake) Options() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(i.MaxMessage), grpc.InTapHandle(i.tap), grpc.StreamInterceptor(i.intercept),
		grpc.StaticStreamWindowSize(streamWindow), grpc.StaticConnWindowSize(connectionWindow),
	}
}

// arrival is a stream whose message is not read yet.
type arrival struct {
	intake *Intake
	read   atomic.Bool
}

type arrivalKey struct{}

// done ends the count of a stream.
func (r *arrival) done() {
	if !r.read.Swap(true) {
		r.intake.unread.Add(-1)
	}
}

// tap bounds the streams whose messages are not read, each of which holds a window.
func (i *Intake) tap(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if limit := i.Account.Limit; limit > 0 && i.unread.Load()*streamWindow >= limit {
		i.refused.Add(1)
		return nil, status.Error(codes.ResourceExhausted, code.New(code.MemoryFull, "message", "too many streams have not sent their message").Error())
	}
	i.unread.Add(1)
	r := &arrival{intake: i}
	context.AfterFunc(ctx, r.done)
	return context.WithValue(ctx, arrivalKey{}, r), nil
}

// intercept refuses a call by its head, and bounds the message of another one.
func (i *Intake) intercept(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if err := i.Authorize(stream.Context(), info.FullMethod); err != nil {
		return Status(err, false)
	}
	return handler(srv, &boundedStream{ServerStream: stream, intake: i, method: info.FullMethod})
}

// boundedStream is a stream whose caller's message is bounded in time and memory.
type boundedStream struct {
	grpc.ServerStream
	intake *Intake
	method string
}

// RecvMsg implements grpc.ServerStream.
func (s *boundedStream) RecvMsg(m any) error {
	i, ctx, began := s.intake, s.Context(), time.Now()
	err := i.Account.Admit(ctx, int64(i.MaxMessage), began.Add(i.MessageTime), func() error { return s.ServerStream.RecvMsg(m) })
	if r, ok := ctx.Value(arrivalKey{}).(*arrival); ok {
		r.done()
	}
	refused := intake.Refusal(err, "message", "limit "+i.MessageTime.String())
	if refused == nil {
		return err
	}
	i.Log.Warn("call refused, its message did not arrive", "method", s.method, "result", refused.Code.String(), "cause", refused.Message, "age_ms", time.Since(began).Milliseconds(), "held_bytes", i.Account.Status().Held)
	return Status(refused, true)
}

// AsStreams returns a service whose unary calls are served as streams of one message each way, which is the same on the wire: gRPC
// reads the message of a unary call before any interceptor can bound it.
func AsStreams(service grpc.ServiceDesc) *grpc.ServiceDesc {
	service.Streams = slices.Clone(service.Streams)
	for _, m := range service.Methods {
		service.Streams = append(service.Streams, grpc.StreamDesc{StreamName: m.MethodName, Handler: func(srv any, stream grpc.ServerStream) error {
			reply, err := m.Handler(srv, stream.Context(), stream.RecvMsg, nil)
			if err != nil {
				return err
			}
			return stream.SendMsg(reply)
		}})
	}
	service.Methods = nil
	return &service
}
