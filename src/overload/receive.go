package overload

import (
	"errors"
	"net"
	"syscall"
)

// unreadMemory bounds what the kernel holds of the bytes that have arrived on a connection and are not read, in bytes, with its own
// overhead.
const unreadMemory = 32 << 10

// kernelShare is the factor by which the kernel enlarges a receive buffer for its overhead; see SO_RCVBUF in socket(7).
const kernelShare = 2

// BoundUnread bounds what the kernel holds unread on each connection of a listener; connections take the buffer of their listener over.
func BoundUnread(l net.Listener) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadMemory/kernelShare)
	})
	return errors.Join(err, set)
}
