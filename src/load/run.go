package load

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/rpc"
	"github.com/stilemast/stilemast/src/standin"
)

// Dial connects to a box; cfg nil means plain TCP, token may be "".
func Dial(address string, cfg *tls.Config, token string) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if cfg != nil {
		creds = credentials.NewTLS(cfg)
	}
	opts := []grpc.DialOption{grpc.WithTransportCredentials(creds)}
	if token != "" {
		opts = append(opts, grpc.WithStreamInterceptor(func(ctx context.Context, d *grpc.StreamDesc, cc *grpc.ClientConn, m string, s grpc.Streamer, o ...grpc.CallOption) (grpc.ClientStream, error) {
			return s(withToken(ctx, token), d, cc, m, o...)
		}), grpc.WithUnaryInterceptor(func(ctx context.Context, m string, req, reply any, cc *grpc.ClientConn, inv grpc.UnaryInvoker, o ...grpc.CallOption) error {
			return inv(withToken(ctx, token), m, req, reply, cc, o...)
		}))
	}
	conn, err := grpc.NewClient(address, opts...)
	return conn, eris.Wrap(err, "dial box")
}

func withToken(ctx context.Context, token string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+token)
}

// Run sends the requests of a plan to boxes. Set its fields, then call Do.
type Run struct {
	Boxes      []string // callers' addresses
	TLS        *tls.Config
	Token      string
	Plan       []Arrival
	Duplicates float64               // share of requests that are also sent to a second box, as a load balancer may do
	Progress   func(done, total int) // called after each answer; may be nil
	Retry      bool                  // retry failed requests with the same key at the next box

	mu      sync.Mutex
	results []Result
}

// Result is the outcome of one request.
type Result struct {
	Arrival     Arrival
	Key         string
	Code        code.Code
	Ran         code.Ran
	WrongAnswer bool // complete, but not the answer to this request
	Late        bool
	Took        time.Duration
	FirstToken  time.Duration
	Stages      []*pb.StageUse
	Duplicate   bool // the second copy of a duplicated request
}

// answerGrace is how long the load tool waits for an answer after the request's maximum deadline.
const answerGrace = 30 * time.Second

// Do sends each request at its arrival time and waits for all answers.
func (r *Run) Do(ctx context.Context) ([]Result, error) {
	clients := make([]pb.PipelinesClient, len(r.Boxes))
	for i, a := range r.Boxes {
		conn, err := Dial(a, r.TLS, r.Token)
		if err != nil {
			return nil, err
		}
		defer conn.Close()
		clients[i] = pb.NewPipelinesClient(conn)
	}
	start := time.Now()
	var wg sync.WaitGroup
	for _, a := range r.Plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(a.At))):
		}
		if ctx.Err() != nil {
			break
		}
		key := newKey()
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.addResult(r.sendWithRetries(ctx, clients, a.Box, a, key))
		}()
		if float64(a.N%100) < 100*r.Duplicates && len(clients) > 1 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				res := r.sendWithRetries(ctx, clients, a.Box+1, a, key)
				res.Duplicate = true
				r.addResult(res)
			}()
		}
	}
	wg.Wait()
	return r.results, nil
}

func newKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err) // the random number generator failed
	}
	return id.String()
}

func (r *Run) addResult(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
	if r.Progress != nil {
		r.Progress(len(r.results), len(r.Plan))
	}
}

// Limits of the retries if Run.Retry is set.
const (
	maxRetries = 6                      // retries after the first attempt
	retryPause = 500 * time.Millisecond // between attempts
)

// sendWithRetries sends a request and, if Retry is set, retries it with the same key at other boxes while that may
// succeed.
func (r *Run) sendWithRetries(ctx context.Context, clients []pb.PipelinesClient, box int, a Arrival, key string) Result {
	begun := time.Now()
	var lastCoded Result // the last answer with a result code, which says more than a broken connection
	for try := 0; ; try++ {
		res := r.send(ctx, clients[(box+try)%len(clients)], a, key)
		retryable := res.Code == code.AnswerInterrupted || res.Code == code.Draining || res.Code == code.NotReady || res.Code.Entry().SameKey
		if res.Code != code.AnswerInterrupted {
			lastCoded = res
		}
		if !r.Retry || !retryable || try == maxRetries {
			if res.Code == code.AnswerInterrupted && lastCoded.Key != "" {
				res = lastCoded
			}
			res.Took = time.Since(begun)
			res.Late = res.Took > a.Pipeline.Deadline()
			return res
		}
		time.Sleep(retryPause)
	}
}

// send sends one request and checks its answer.
func (r *Run) send(ctx context.Context, c pb.PipelinesClient, a Arrival, key string) Result {
	res := Result{Arrival: a, Key: key}
	deadline := a.Pipeline.Deadline()
	ctx, cancel := context.WithTimeout(ctx, a.Pipeline.MaxDeadline()+answerGrace)
	defer cancel()
	begun := time.Now()
	answer, err := Collect(func() (grpc.ServerStreamingClient[pb.RunEvent], error) {
		return c.Run(ctx, &pb.RunRequest{
			Workspace: a.Workspace, Pipeline: a.Pipeline.Name(), Key: key, Input: a.Input, Deadline: durationpb.New(deadline),
		})
	}, func() { res.FirstToken = time.Since(begun) })
	res.Took = time.Since(begun)
	res.Late = res.Took > deadline
	if err != nil {
		res.Code, res.Ran = outcomeOf(err)
		return res
	}
	res.Stages = answer.Stages
	res.WrongAnswer = !bytes.Equal(answer.Data, standin.ExpectedOutput(a.Pipeline, a.Input, 0))
	return res
}

// outcomeOf returns the result code of an error and whether anything ran. An error without one is an interruption.
func outcomeOf(err error) (code.Code, code.Ran) {
	if d := rpc.ResultOf(err); d != nil {
		return code.Code(d.GetCode()), code.Ran(d.GetRan())
	}
	return code.AnswerInterrupted, code.RanUnknown
}

// Answer is a complete answer.
type Answer struct {
	Data   []byte
	Stages []*pb.StageUse
	Token  string // attach token
}

var errIncomplete = errors.New("the stream ended before the answer was complete")

// Collect reads a stream until the answer is complete. first, if not nil, is called when output begins.
func Collect(open func() (grpc.ServerStreamingClient[pb.RunEvent], error), first func()) (Answer, error) {
	var a Answer
	s, err := open()
	if err != nil {
		return a, err
	}
	for {
		ev, err := s.Recv()
		if err == io.EOF {
			return a, errIncomplete
		}
		if err != nil {
			return a, err
		}
		switch e := ev.GetEvent().(type) {
		case *pb.RunEvent_Accepted:
			a.Token = e.Accepted.GetAttachToken()
		case *pb.RunEvent_Chunk:
			if len(a.Data) == 0 && first != nil {
				first()
			}
			if int(e.Chunk.GetOffset()) != len(a.Data) {
				return a, errors.New("a chunk of the answer has an unexpected offset")
			}
			a.Data = append(a.Data, e.Chunk.GetData()...)
		case *pb.RunEvent_Finished:
			a.Stages = e.Finished.GetStages()
			if int(e.Finished.GetLength()) != len(a.Data) {
				return a, errIncomplete
			}
			return a, nil
		}
	}
}

// ParseDocument validates a configuration document and returns the parsed configuration.
func ParseDocument(d *config.Document) (*config.Config, error) {
	raw, err := config.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "marshal document")
	}
	c, faults := config.Parse(raw)
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// FetchRan fetches the calls that the stand-ins of all backend servers ran.
func FetchRan(ctx context.Context, c *config.Config) ([]standin.Execution, error) {
	var all []standin.Execution
	for _, b := range c.BackendServers() {
		resp, err := httpc.Do(ctx, http.MethodGet, "http://"+b.Address()+standin.PathExecutions, nil)
		if err != nil {
			return nil, eris.Wrapf(err, "fetch calls that %s ran", b.Name())
		}
		var one []standin.Execution
		err = json.NewDecoder(resp.Body).Decode(&one)
		_ = resp.Body.Close()
		if err != nil {
			return nil, eris.Wrapf(err, "fetch calls that %s ran", b.Name())
		}
		all = append(all, one...)
	}
	return all, nil
}
