package spokehttp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// silenceLimit is the time after which a connection whose other end
	// acknowledges nothing is broken off. It is well below the callers'
	// timeouts, so that a request can still go elsewhere.
	silenceLimit = 3 * spokeclock.Second
	// probeInterval is the time between probes of a connection on which
	// nothing is being sent.
	probeInterval = time.Second
	probeCount    = 3
)

// NewDialer returns a dialer whose connections end when the other end has fallen
// silent without closing them.
func NewDialer(timeout spokeclock.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
