package spokecore

import (
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokethrottle"
)

// ServerNotice is what a backend server says about itself in the head of an
// answer, whatever the answer's status.
type ServerNotice struct {
	// Leaving is true if the server is about to be removed.
	Leaving bool
	// LatestGeneration is the latest generation that a server that is leaving may have:
	// its name may have started again since the list was read. Zero means that of the list.
	LatestGeneration int64
	// Pause is the time for which the server asks this instance for no requests.
	// Zero means none.
	Pause spokeclock.Millis
	// Limit is the limit that the server names, for all entry instances together.
	Limit spokethrottle.Limit
	// IsAuthentic is true if the answer is known to be the server's own, so that it
	// means something if it names no limit.
	IsAuthentic bool
}

// RecordNotice applies a server's notice to the following choices. Peers learn
// of a leaving server with the next heartbeat.
func (c *Core) RecordNotice(server spokecloud.Instance, notice ServerNotice) {
	if notice.Leaving {
		c.Registry.MarkForRemoval(server.Name, spokebackend.Removal{Source: spokebackend.SourceAnswer, Generation: max(server.Generation, notice.LatestGeneration)})
	}
	if throttle := c.Registry.Throttle; throttle != nil {
		throttle.RecordAnswer(spokethrottle.Server{Name: server.Name, Generation: server.Generation}, notice.Limit, notice.IsAuthentic)
	}
	if notice.Pause > 0 {
		c.Registry.PauseServer(server.Name, server.Generation, notice.Pause)
		c.Log.Info().Str("server", server.Name).Int64("pause_millis", int64(notice.Pause)).Msg("Backend server asked for a pause.")
	}
}
