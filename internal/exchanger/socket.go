package exchanger

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// unackedFor is how long sent bytes may stay unacknowledged before a connection counts as dead. It covers three
// retransmissions on a link between availability zones.
const unackedFor = time.Second

// control sets the options of a new socket.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
	})
	if failed != nil {
		klog.V(1).Infof("exchanger: no limit of unacknowledged bytes reason=%q", failed)
	}
	return err
}

// quiet reports whether a kept connection is open and has nothing to read. Bytes that wait belong to no request, and the end
// of the stream means that the endpoint has closed it.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
