package spokepeer

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// InFlightByServer has the requests in flight at each backend server. In JSON
// it is a base64 string of varints. In ascending order of IDs, each server has
// the difference to the previous ID, the number of requests, the number of
// those with long answers and the prefill units; zeros of the last two are
// omitted. With server names and field names it would be seven times as long.
type InFlightByServer map[spokebackend.ID]spokebackend.InFlight

// maxPrefillInterval is the longest heartbeat interval at which prefill units
// are sent. The longest prompts of the known services take 250 ms to process. A
// much later report keeps requests away from servers that have finished
// prefill by then.
const maxPrefillInterval = 400 * spokeclock.Millis(1)

// withoutOutdatedPrefill clears the prefill units if, at the heartbeat
// interval, they would be out of date when the peer uses them.
func (i InFlightByServer) withoutOutdatedPrefill(interval spokeclock.Millis) InFlightByServer {
	if interval <= maxPrefillInterval {
		return i
	}
	for id, inFlight := range i {
		inFlight.PrefillUnits = 0
		i[id] = inFlight
	}
	return i
}

var (
	errTruncated = errors.New("encoded requests in flight are truncated or malformed")
	errTooMany   = errors.New("encoded requests in flight name too many servers")
)

// MarshalJSON implements json.Marshaler.
func (i InFlightByServer) MarshalJSON() ([]byte, error) {
	ids := make([]spokebackend.ID, 0, len(i))
	for id := range i {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var encoded []byte
	previous := spokebackend.ID(0)
	for _, id := range ids {
		encoded = binary.AppendUvarint(encoded, uint64(id-previous))
		encoded = appendInFlight(encoded, i[id])
		previous = id
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(encoded))
}

// The low bits of the encoded number of requests are flags for the counts that
// follow it.
const (
	flagLongRequests = 1
	flagPrefillUnits = 2
	flagBits         = 2
)

// appendInFlight appends the number of requests with its flags, and the other
// counts that are not zero.
func appendInFlight(encoded []byte, inFlight spokebackend.InFlight) []byte {
	flags := uint64(0)
	if inFlight.LongRequests != 0 {
		flags |= flagLongRequests
	}
	if inFlight.PrefillUnits != 0 {
		flags |= flagPrefillUnits
	}
	encoded = binary.AppendUvarint(encoded, uint64(inFlight.Requests)<<flagBits|flags)
	if inFlight.LongRequests != 0 {
		encoded = binary.AppendUvarint(encoded, uint64(inFlight.LongRequests))
	}
	if inFlight.PrefillUnits != 0 {
		encoded = binary.AppendUvarint(encoded, uint64(inFlight.PrefillUnits))
	}
	return encoded
}

// readInFlight decodes what appendInFlight encoded and returns the remaining
// bytes.
func readInFlight(encoded []byte) (spokebackend.InFlight, []byte, error) {
	var inFlight spokebackend.InFlight
	requestsAndFlags, encoded, err := readUvarint(encoded)
	if err != nil {
		return inFlight, nil, err
	}
	inFlight.Requests = boundedInFlight(requestsAndFlags >> flagBits)
	if requestsAndFlags&flagLongRequests != 0 {
		var longRequests uint64
		if longRequests, encoded, err = readUvarint(encoded); err != nil {
			return inFlight, nil, err
		}
		inFlight.LongRequests = boundedInFlight(longRequests)
	}
	if requestsAndFlags&flagPrefillUnits != 0 {
		var prefillUnits uint64
		if prefillUnits, encoded, err = readUvarint(encoded); err != nil {
			return inFlight, nil, err
		}
		inFlight.PrefillUnits = boundedInFlight(prefillUnits)
	}
	return inFlight, encoded, nil
}

// boundedInFlight bounds a count, so that sums over all peers don't overflow.
func boundedInFlight(count uint64) int { return int(min(count, maxInFlight)) }

// UnmarshalJSON implements json.Unmarshaler.
func (i *InFlightByServer) UnmarshalJSON(text []byte) error {
	var encodedText string
	if err := json.Unmarshal(text, &encodedText); err != nil {
		return err
	}
	encoded, err := base64.RawStdEncoding.DecodeString(encodedText)
	if err != nil {
		return err
	}
	*i = make(InFlightByServer)
	id := spokebackend.ID(0)
	for len(encoded) > 0 {
		difference, rest, err := readUvarint(encoded)
		if err != nil {
			return err
		}
		inFlight, rest, err := readInFlight(rest)
		if err != nil {
			return err
		}
		if len(*i) >= maxServers {
			return errTooMany
		}
		encoded = rest
		id += spokebackend.ID(difference)
		(*i)[id] = inFlight
	}
	return nil
}

// readUvarint decodes a varint and returns the remaining bytes.
func readUvarint(encoded []byte) (uint64, []byte, error) {
	value, size := binary.Uvarint(encoded)
	if size <= 0 {
		return 0, nil, errTruncated
	}
	return value, encoded[size:], nil
}
