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

// InFlightByServer are requests under way by backend server. Their JSON form is a string:
// for each server in the order of IDs, the ID's distance from the one before,
// all requests, those with long answers and the unread prompts, as
// variable-length numbers in base 64. With names and field names it would be seven times as long.
type InFlightByServer map[spokebackend.ID]spokebackend.InFlight

// unreadLife is how long news of an unread prompt is worth telling. The longest
// prompts of the services known take a quarter of a second to read; what comes
// much later keeps requests from servers that have long read theirs.
const unreadLife = 400 * spokeclock.Millis(1)

// lasting drops what changes faster than heartbeats at an interval could tell.
func (u InFlightByServer) lasting(interval spokeclock.Millis) InFlightByServer {
	if interval <= unreadLife {
		return u
	}
	for id, use := range u {
		use.PrefillUnits = 0
		u[id] = use
	}
	return u
}

var errUses = errors.New("uses are cut short")

// MarshalJSON returns the string form.
func (u InFlightByServer) MarshalJSON() ([]byte, error) {
	ids := make([]spokebackend.ID, 0, len(u))
	for id := range u {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var packed []byte
	last := spokebackend.ID(0)
	for _, id := range ids {
		packed = binary.AppendUvarint(packed, uint64(id-last))
		packed = appendUse(packed, u[id])
		last = id
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(packed))
}

const (
	longFollows   = 1
	unreadFollows = 2
	flagBits      = 2
)

// appendUse adds the count of all, behind two bits that tell which of the other
// counts follow.
func appendUse(packed []byte, use spokebackend.InFlight) []byte {
	flags := uint64(0)
	if use.LongRequests != 0 {
		flags |= longFollows
	}
	if use.PrefillUnits != 0 {
		flags |= unreadFollows
	}
	packed = binary.AppendUvarint(packed, uint64(use.Requests)<<flagBits|flags)
	if use.LongRequests != 0 {
		packed = binary.AppendUvarint(packed, uint64(use.LongRequests))
	}
	if use.PrefillUnits != 0 {
		packed = binary.AppendUvarint(packed, uint64(use.PrefillUnits))
	}
	return packed
}

// takeUse reads what appendUse wrote.
func takeUse(packed []byte) (spokebackend.InFlight, []byte, error) {
	var use spokebackend.InFlight
	all, packed, err := takeNumber(packed)
	if err != nil {
		return use, nil, err
	}
	use.Requests = int(all >> flagBits)
	if all&longFollows != 0 {
		var long uint64
		if long, packed, err = takeNumber(packed); err != nil {
			return use, nil, err
		}
		use.LongRequests = int(long)
	}
	if all&unreadFollows != 0 {
		var unread uint64
		if unread, packed, err = takeNumber(packed); err != nil {
			return use, nil, err
		}
		use.PrefillUnits = int(unread)
	}
	return use, packed, nil
}

// UnmarshalJSON reads the string form.
func (u *InFlightByServer) UnmarshalJSON(text []byte) error {
	var encoded string
	if err := json.Unmarshal(text, &encoded); err != nil {
		return err
	}
	packed, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return err
	}
	*u = make(InFlightByServer)
	last := spokebackend.ID(0)
	for len(packed) > 0 {
		id, rest, err := takeNumber(packed)
		if err != nil {
			return err
		}
		use, rest, err := takeUse(rest)
		if err != nil {
			return err
		}
		packed = rest
		last += spokebackend.ID(id)
		(*u)[last] = use
	}
	return nil
}

func takeNumber(packed []byte) (uint64, []byte, error) {
	number, size := binary.Uvarint(packed)
	if size <= 0 {
		return 0, nil, errUses
	}
	return number, packed[size:], nil
}
