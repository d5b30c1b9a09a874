package connections

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes have arrived on a connection that were not read; false if that is unknown.
func HasUnread(c net.Conn) bool {
	own, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := own.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) != nil {
		return false
	}
	return err == nil && n > 0
}
