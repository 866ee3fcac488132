package endpoint

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// The kernel closes a connection whose data stays unacknowledged for this long, even if the endpoint is still working on a request that it acknowledged.
	userTimeoutMS = 3_000
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dl := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	return dl.DialContext(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMS)
	})
	if err != nil {
		return err
	}
	return optErr
}
