package exchanger

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection. It covers three
// retransmissions on a link between availability zones.
const unackedTimeout = time.Second

// setSocketOptions sets TCP_USER_TIMEOUT on a new socket. A failure is only logged.
func setSocketOptions(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if optionErr != nil {
		klog.V(1).Infof("exchanger: setting TCP_USER_TIMEOUT failed reason=%q", optionErr)
	}
	return err
}

// isOpenAndUnread reports whether an idle connection is open and has nothing to read. Unread bytes belong to no request, and EOF
// means that the endpoint has closed the connection.
func isOpenAndUnread(c net.Conn) bool {
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
