package spokecase

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports for tests are below the kernel's range of ephemeral ports, so that
// no outgoing connection takes a port that a test has chosen.
const (
	firstPort = 17000
	portCount = 14000
	// portStride keeps apart the ports of processes with successive IDs, as those of
	// several packages run at the same time.
	portStride = 997
)

var portAllocator struct {
	sync.Mutex
	next int
}

// FreeAddress returns a loopback address that nothing listens on and that no
// other test of this run uses. It fails the test at once if there is none.
func FreeAddress(t testing.TB) string {
	t.Helper()
	portAllocator.Lock()
	defer portAllocator.Unlock()
	for range portCount {
		portAllocator.next++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()*portStride+portAllocator.next)%portCount)
		// Dials instead of listening: a process that is started at the same time
		// would inherit the listening socket and keep the port in use for a moment.
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return address
		}
		_ = conn.Close()
	}
	t.Fatal("no free port in the range for tests")
	return ""
}
