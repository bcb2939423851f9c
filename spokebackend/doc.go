// Package spokebackend keeps an entry instance's view of the backend servers:
// their addresses, load, speed and health, and which of them are being removed.
// Its sources can disagree. A server that any source reports as being removed
// gets no new requests, and failures seen by this instance take precedence over
// a list that shows the server as running.
package spokebackend
