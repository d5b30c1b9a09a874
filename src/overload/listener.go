package overload

import "net"

// Listener measures the load that callers' connections cause.
type Listener struct {
	net.Listener
	Meter *Meter
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.Meter.Probe()
	return &countedConn{Conn: c, meter: l.Meter}, nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.AddBytes(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.AddBytes(n)
	return n, err
}
