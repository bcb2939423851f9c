package spokepeer

// newsSource is something that changes seldom and whose changes peers learn at once,
// without waiting for a heartbeat.
type newsSource struct {
	// method is the method of its messages.
	method string
	// nextFunc returns the next message on a link that has sent the changes up to a
	// sequence number. IsLocal is whether the peer is linked to the same instances.
	nextFunc func(sequence int64, isLocal bool) newsBatch
}

// newsBatch is one message about the changes of a source.
type newsBatch struct {
	message any
	// last is the sequence number up to which changes are included.
	last    int64
	isEmpty bool
	hasMore bool
}

// newsSources returns the sources of this node.
func (n *Node) newsSources() []newsSource {
	var sources []newsSource
	if n.Quarantine != nil {
		sources = append(sources, newsSource{method: methodQuarantine, nextFunc: func(sequence int64, isLocal bool) newsBatch {
			news, last, hasMore := n.Quarantine.NewsSince(sequence, isLocal)
			return newsBatch{message: news, last: last, isEmpty: len(news.Suspects) == 0, hasMore: hasMore}
		}})
	}
	if n.Throttle != nil {
		sources = append(sources, newsSource{method: methodServerLimits, nextFunc: func(sequence int64, isLocal bool) newsBatch {
			news, last, hasMore := n.Throttle.NewsSince(sequence, isLocal)
			return newsBatch{message: news, last: last, isEmpty: len(news.Limits) == 0, hasMore: hasMore}
		}})
	}
	return sources
}
