package port

import "fmt"

// Tunnel asks a box to open a connection to a backend server and to carry its bytes.
type Tunnel struct {
	From    string `msgpack:"f"` // the asker, for logs
	Pool    string `msgpack:"p"`
	Server  string `msgpack:"s"`
	Address string `msgpack:"a"`
	// Lent: the connection counts as one of the carrier's, which has connections to spare, and not of the asker's.
	Lent bool `msgpack:"-"`
}

// TunnelResult answers a Tunnel. After TunnelOpen the connection between the boxes carries the bytes of the tunnel.
type TunnelResult uint8

// Results of a Tunnel.
const (
	TunnelOpen     TunnelResult = iota + 1
	TunnelRefused               // the server refused the connection
	TunnelNoPath                // the box can't reach the server either
	TunnelDeclined              // the box does not know the server, stops, has no connection to lend, or carries too many tunnels
)

// String names the result for logs.
func (r TunnelResult) String() string {
	switch r {
	case TunnelOpen:
		return "open"
	case TunnelRefused:
		return "refused"
	case TunnelNoPath:
		return "no path"
	case TunnelDeclined:
		return "declined"
	}
	return "unknown"
}

// TunnelOpened is the answer to a Tunnel.
type TunnelOpened struct {
	Result TunnelResult `msgpack:"r"`
}

// TunnelError is the error of a tunnel that the other box did not open.
type TunnelError struct{ Result TunnelResult }

// Error implements error.
func (e *TunnelError) Error() string { return "tunnel: " + e.Result.String() }

// CarrierLostError is the error of a tunnel whose carrier failed, as opposed to the server at its end.
type CarrierLostError struct{ Cause error }

// Error implements error.
func (e *CarrierLostError) Error() string {
	return fmt.Sprintf("the box that carried the connection is lost: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *CarrierLostError) Unwrap() error { return e.Cause }
