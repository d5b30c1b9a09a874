package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/node"
	"github.com/stilemast/stilemast/src/signals"
	"github.com/stilemast/stilemast/src/standin"
	"github.com/stilemast/stilemast/src/web"
)

func serveCommand(adapter node.Adapter) *cli.Command {
	return &cli.Command{
		Name:  serveCommandName,
		Usage: "run one box; SIGTERM shuts it down gracefully, a second one immediately",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "TOML `FILE` with the box's settings", Sources: cli.EnvVars("STILEMAST_CONFIG"), Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			mode, err := config.ReadMode(c.String("settings"))
			if err != nil {
				return err
			}
			if mode == config.ModeGateway {
				return serveGateway(c.String("settings"), adapter)
			}
			s, err := config.ReadSettings(c.String("settings"))
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
}

// forceQuitDelay is set as go-zero's delay before it forces an exit; it exceeds any graceful shutdown.
const forceQuitDelay = 24 * time.Hour

// serve runs a box until a signal or an operator's drain request has stopped it.
func serve(s *config.Settings) error {
	log := newLogger(s.LogLevel).With("box", s.Box)
	n := &node.Node{Settings: s, Log: log, Release: Release}
	stops := signals.Stops()
	if err := n.Start(); err != nil {
		return err
	}
	// go-zero sends a second SIGTERM 5.5 s after the first, which would abort running requests. Its listeners may
	// set that delay when they start, so it is overridden afterwards.
	proc.SetTimeToForceQuit(forceQuitDelay)
	log.Info("serving", "callers", n.CallersAddress(), "peers", n.PeersAddress(), "release", Release)
	select {
	case <-stops:
	case <-n.Stopped():
		return nil
	}
	cut := make(chan int, 1)
	go func() { cut <- n.Stop() }()
	select {
	case left := <-cut:
		if left > 0 {
			return eris.Errorf("graceful shutdown timed out with %d requests running", left)
		}
		return nil
	case <-stops:
		return eris.New("stopped immediately by a second signal; running requests were aborted")
	}
}

func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve on", Value: "127.0.0.1:0"}
	slots := &cli.IntFlag{Name: "slots", Usage: "concurrent calls", Value: 8}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a backend server or the platform, for tests",
		Commands: []*cli.Command{
			{
				Name: "engine", Usage: "stand-in for a model engine",
				Flags: []cli.Flag{listen, slots, &cli.BoolFlag{Name: "checks-orders", Value: true, Usage: "refuse orders with an outdated fencing token"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					e := &standin.Engine{Name: "engine", Cost: standin.DefaultEngineCost(c.Int("slots")), ChecksOrders: c.Bool("checks-orders"), Store: &standin.WeightStore{}, EventLag: 300 * time.Millisecond, EventGap: 17}
					e.Init()
					go e.Run(ctx)
					h, err := e.Handler()
					return serveStandin(ctx, c.String("listen"), h, err)
				},
			},
			{
				Name: "service", Usage: "stand-in for an encoder, retriever, reranker or other service; GET /ran lists the calls that it ran",
				Flags: []cli.Flag{listen, slots, &cli.DurationFlag{Name: "time", Value: 10 * time.Millisecond, Usage: "typical `DURATION` of one call"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					s := &standin.Service{Name: "service", Slots: c.Int("slots"), CallTime: c.Duration("time")}
					h, err := s.Handler()
					return serveStandin(ctx, c.String("listen"), h, err)
				},
			},
			{
				Name: "platform", Usage: "stand-in for the configuration service and the box list, reread from files periodically",
				Flags: []cli.Flag{listen,
					&cli.StringFlag{Name: "config", Required: true, Usage: "published configuration, a TOML `FILE`"},
					&cli.StringFlag{Name: "boxes", Required: true, Usage: "box list, a JSON `FILE`"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					p := &standin.Platform{}
					if err := publishFiles(p, c.String("config"), c.String("boxes")); err != nil {
						return err
					}
					go func() {
						for ctx.Err() == nil {
							time.Sleep(500 * time.Millisecond)
							_ = publishFiles(p, c.String("config"), c.String("boxes"))
						}
					}()
					h, err := p.Handler()
					return serveStandin(ctx, c.String("listen"), h, err)
				},
			},
		},
	}
}

// publishFiles publishes a configuration file and a box list file.
func publishFiles(p *standin.Platform, conf, boxes string) error {
	raw, err := os.ReadFile(conf)
	if err != nil {
		return eris.Wrap(err, "configuration")
	}
	p.Publish(raw)
	b, err := os.ReadFile(boxes)
	if err != nil {
		return eris.Wrap(err, "box list")
	}
	var list []core.ListedBox
	if err := json.Unmarshal(b, &list); err != nil {
		return eris.Wrap(err, "box list")
	}
	p.SetBoxesIfChanged(list)
	return nil
}

// serveStandin serves h until ctx ends and prints the address that it listens on. A non-nil err, from building h,
// is returned at once.
func serveStandin(ctx context.Context, address string, h http.Handler, err error) error {
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	fmt.Println(l.Addr())
	srv := web.Start(l, h, nil)
	<-ctx.Done()
	return srv.Close()
}
