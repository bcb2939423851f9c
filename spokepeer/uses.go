package spokepeer

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokebackend"
)

// Uses are requests under way by backend server. Their JSON form is a string:
// for each server in the order of IDs, the ID's distance from the one before,
// all requests, and those with long answers, as variable-length numbers in
// base 64. With names and field names it would be seven times as long.
type Uses map[spokebackend.ID]spokebackend.Use

var errUses = errors.New("uses are cut short")

// MarshalJSON returns the string form.
func (u Uses) MarshalJSON() ([]byte, error) {
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

// appendUse adds the count of all, doubled, and one more when a count of long
// ones follows.
func appendUse(packed []byte, use spokebackend.Use) []byte {
	if use.Long == 0 {
		return binary.AppendUvarint(packed, uint64(use.All)*2)
	}
	packed = binary.AppendUvarint(packed, uint64(use.All)*2+1)
	return binary.AppendUvarint(packed, uint64(use.Long))
}

// UnmarshalJSON reads the string form.
func (u *Uses) UnmarshalJSON(text []byte) error {
	var encoded string
	if err := json.Unmarshal(text, &encoded); err != nil {
		return err
	}
	packed, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return err
	}
	*u = make(Uses)
	last := spokebackend.ID(0)
	for len(packed) > 0 {
		var id, all, long uint64
		if id, packed, err = takeNumber(packed); err != nil {
			return err
		}
		if all, packed, err = takeNumber(packed); err != nil {
			return err
		}
		if all%2 == 1 {
			if long, packed, err = takeNumber(packed); err != nil {
				return err
			}
		}
		last += spokebackend.ID(id)
		(*u)[last] = spokebackend.Use{All: int(all / 2), Long: int(long)}
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
