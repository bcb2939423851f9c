package spokehttp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// unacknowledgedTimeout is the time after which a connection is closed if
	// its peer acknowledges none of the data sent. It is well below the timeouts
	// of callers, so that a request can still be sent elsewhere.
	unacknowledgedTimeout = 3 * spokeclock.Second
	// probeInterval is the time between keep-alive probes on an idle connection.
	probeInterval = time.Second
	probeCount    = 3
)

// NewDialer returns a dialer for connections that fail when the peer becomes
// unreachable without closing them.
func NewDialer(timeout spokeclock.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}
