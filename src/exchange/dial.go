package exchange

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

// dial opens a connection that was reserved.
func (c *Client) dial(ctx context.Context, address string, r *Request) (*conn, error) {
	c.Dials.Add(1)
	to := Target{Pool: r.Pool, Server: r.Server, Address: address}
	raw, err := c.connect(ctx, to)
	if err != nil {
		c.release(address)
		return nil, err
	}
	cn := c.newConn(raw, to)
	if r.Share.Open > 0 {
		cn.keepIdle = r.Share.Idle
	}
	return cn, nil
}

func (c *Client) newConn(raw net.Conn, to Target) *conn {
	_ = SetLinger(raw, ResetOnClose)
	cn := &conn{Conn: raw, client: c, address: to.Address, to: to, keepIdle: -1}
	cn.reader = bufio.NewReaderSize(cn, readBuffer)
	return cn
}

func (c *Client) connect(ctx context.Context, to Target) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, to)
	}
	return Dial(ctx, to.Address)
}

// Dial opens a TCP connection to a server that detects within seconds that the server is silent.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialTCP(ctx, address, userTimeout)
}

// DialPeer is Dial for connections between boxes.
func DialPeer(ctx context.Context, address string) (net.Conn, error) {
	return dialTCP(ctx, address, peerUserTimeout)
}

func dialTCP(ctx context.Context, address string, silence time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// Probe opens a connection to a server and closes it again. It returns the error of opening.
func (c *Client) Probe(ctx context.Context, to Target) error {
	cn, err := c.connect(ctx, to)
	if err != nil {
		return err
	}
	return cn.Close()
}
