package spokeclaim

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/google/uuid"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeplain"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindInvalidKey means that the idempotency key is malformed.
	KindInvalidKey Kind = "invalid_idempotency_key"
	// KindExpiredKey means that the key is older than KeyRetention.
	KindExpiredKey Kind = "expired_idempotency_key"
	// KindKeyReused means that the key was used with another request.
	KindKeyReused Kind = "idempotency_key_reused"
	// KindUnavailable means that the table service or the object store failed.
	// If a claim was to be acquired, it was not.
	KindUnavailable Kind = "claims_unavailable"
	// KindQueueFull means that too many row writes are queued.
	KindQueueFull Kind = "claims_busy"
	// KindLost means that the claim could not be reassigned, because its row has
	// changed or the write failed.
	KindLost Kind = "claim_lost"
)

// State is the state of a claim.
type State string

const (
	// StateClaimed means that the request may have been sent.
	StateClaimed State = "claimed"
	// StateDone means that the response is recorded.
	StateDone State = "done"
	// StateReleased means that the request was not sent and will not be.
	StateReleased State = "released"
)

// Record is the content of a claim's row.
type Record struct {
	// State is the state of the claim.
	State State `json:"state"`
	// AttemptID identifies the attempt that holds the claim.
	AttemptID string `json:"attempt"`
	// Owner is the name of the entry instance that holds the claim.
	Owner string `json:"owner"`
	// Server is the name of the backend server that the attempt is sent to.
	Server string `json:"server"`
	// ServerGeneration is the run of that server, as in the list of instances. Zero means
	// unknown.
	ServerGeneration int64 `json:"server_generation,omitempty"`
	// RequestHash is the hash of the request, from HashRequest.
	RequestHash string `json:"request"`
	// Response is the recorded response. Its body is empty if it is in the object
	// store.
	Response spokeplain.Response `json:"answer"`
	// ObjectName is the name of the response body in the object store. It is
	// empty if the body is in Response.
	ObjectName string `json:"object,omitempty"`
	// ClaimedAt is the wall-clock time at which the claim was acquired.
	ClaimedAt spokeclock.Millis `json:"wall_millis"`
}

const (
	keyPrefix = "claim/"
	// KeyRetention is the time for which a key is remembered.
	KeyRetention = 7 * 24 * 3600 * spokeclock.Second
	// maxClockSkew is the largest difference assumed between the wall clocks of
	// two instances.
	maxClockSkew = 24 * 3600 * spokeclock.Second
	// maxKeyLead is how far the timestamp of a key may be in the future.
	maxKeyLead   = 24 * 3600 * spokeclock.Second
	hourMillis   = 3600 * spokeclock.Second
	maxKeyBytes  = 200
	uuidVersion  = 7
	opaquePrefix = "opaque/"
)

// RowKey returns the key of the row for a workspace's idempotency key. The
// idempotency key must be a UUID of version 7, whose timestamp determines how
// long it is remembered. Any other key is accepted only if opaque is true. The
// current wall-clock time is given by wall. RowKey returns an error of kind
// KindInvalidKey or KindExpiredKey, whose text callers read in a refusal.
func RowKey(workspace, key string, opaque bool, wall spokeclock.Millis) (string, error) {
	if key == "" || len(key) > maxKeyBytes {
		return "", spokeerror.Newf("read idempotency key", KindInvalidKey, "it has %d bytes; allowed: 1 to %d", len(key), maxKeyBytes)
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidVersion {
		return opaqueRowKey(workspace, key, opaque)
	}
	seconds, _ := parsed.Time().UnixTime()
	created := spokeclock.Millis(seconds) * spokeclock.Second
	if created < wall-KeyRetention {
		return "", spokeerror.Newf("read idempotency key", KindExpiredKey, "it is older than %d hours", KeyRetention/hourMillis)
	}
	if created > wall+maxKeyLead {
		return "", spokeerror.Newf("read idempotency key", KindInvalidKey, "its time is in the future")
	}
	return timedKeyPrefix(workspace) + formatHour(created) + "/" + parsed.String(), nil
}

func opaqueRowKey(workspace, key string, opaque bool) (string, error) {
	if !opaque {
		return "", spokeerror.Newf("read idempotency key", KindInvalidKey, "%q is not a UUID of version 7, and the workspace does not allow opaque keys", key)
	}
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + opaquePrefix + workspace + "/" + hex.EncodeToString(sum[:]), nil
}

// timedKeyPrefix returns the prefix of the rows of a workspace's keys that are
// UUIDs of version 7.
func timedKeyPrefix(workspace string) string {
	return keyPrefix + "timed/" + workspace + "/"
}

const hourDigits = 8

// formatHour returns the hours since the epoch in eight digits, so that row keys
// sort by time.
func formatHour(wall spokeclock.Millis) string {
	digits := make([]byte, hourDigits)
	rest := int64(wall / hourMillis)
	for i := hourDigits - 1; i >= 0; i-- {
		digits[i] = byte('0' + rest%10)
		rest /= 10
	}
	return string(digits)
}

// HashRequest returns a hash of the request, by which a key that is used with
// another request is detected.
func HashRequest(method, path string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method + " " + path + "\n"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}
