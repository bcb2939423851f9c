package spokestandin

import (
	"net/http"
	"os"
)

// ExitFunc ends the process when a control call asks for it. A program that
// embeds several stand-ins replaces it before it serves.
var ExitFunc = func() { os.Exit(1) }

func exit(http.ResponseWriter, *http.Request) {
	ExitFunc()
}
