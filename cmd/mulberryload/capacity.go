package main

import (
	"context"
	"encoding/json"
	"os"

	"mulberryspoke.example/mulberryspoke/spokemeasure"
)

// capacityCommand measures how the resource use of a deployment grows with its
// size, for docs/CAPACITY.md.
type capacityCommand struct {
	Only string `long:"only" description:"One of peers, places, config, claims, watch; all if empty"`
}

// Execute prints each measurement as a line of JSON, then the fitted slopes.
func (c *capacityCommand) Execute([]string) error {
	out := json.NewEncoder(os.Stdout)
	return spokemeasure.MeasureCapacity(context.Background(), c.Only, func(value any) error { return out.Encode(value) })
}
