package spokestandin

import (
	"net/http"
	"os"
)

// ExitFunc is called on a POST to /control/exit and ends the process. A program
// that runs several stand-ins replaces it before it serves requests.
var ExitFunc = func() { os.Exit(1) }

func handleExit(http.ResponseWriter, *http.Request) {
	ExitFunc()
}
