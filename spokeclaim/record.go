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
	// KindInvalidKey says that the idempotency key is malformed.
	KindInvalidKey Kind = "invalid_idempotency_key"
	// KindExpiredKey says that the key is too old to be known.
	KindExpiredKey Kind = "expired_idempotency_key"
	// KindKeyReused says that the key was used with another request.
	KindKeyReused Kind = "idempotency_key_reused"
	// KindUnavailable says that nothing was claimed and nothing will be sent.
	KindUnavailable Kind = "claims_unavailable"
	// KindQueueFull says that too many claims are waiting.
	KindQueueFull Kind = "claims_busy"
	// KindLost says that another attempt holds the claim now.
	KindLost Kind = "claim_lost"
)

// State is how far a claim has come.
type State string

const (
	// StateClaimed is a claim whose request may have been sent.
	StateClaimed State = "claimed"
	// StateDone is a claim with a recorded outcome.
	StateDone State = "done"
	// StateReleased is a claim whose request was not and will not be sent.
	StateReleased State = "released"
)

// Record is the row of a claim.
type Record struct {
	// State is how far the claim has come.
	State State `json:"state"`
	// AttemptID is the attempt that holds the claim.
	AttemptID string `json:"attempt"`
	// Owner is the entry instance that holds it.
	Owner string `json:"owner"`
	// Server is the backend server that the attempt goes to.
	Server string `json:"server"`
	// RequestHash is the hash of the request.
	RequestHash string `json:"request"`
	// Response is the recorded outcome, unless it is in the object store.
	Response spokeplain.Response `json:"answer"`
	// ObjectName names the outcome in the object store.
	ObjectName string `json:"object,omitempty"`
	// ClaimedAt is when the claim was made.
	ClaimedAt spokeclock.Millis `json:"wall_millis"`
}

const (
	keyPrefix = "claim/"
	// KeyRetention is how long a key is remembered.
	KeyRetention = 7 * 24 * 3600 * spokeclock.Second
	// pruneMargin covers the difference between two instances' wall clocks.
	pruneMargin = 24 * 3600 * spokeclock.Second
	futureLimit = 24 * 3600 * spokeclock.Second
	hourMillis  = 3600 * spokeclock.Second
	maxKeyBytes = 200
	uuidVersion = 7
	opaquePart  = "opaque/"
)

// RowKey returns the row of a workspace's idempotency key. The key is a UUID
// of version 7, whose time bounds how long it is remembered; opaque keys are
// taken when the workspace allows them. It returns an error of kind KindKey or
// KindExpired.
func RowKey(workspace, key string, opaque bool, wall spokeclock.Millis) (string, error) {
	if key == "" || len(key) > maxKeyBytes {
		return "", spokeerror.Newf("read idempotency key", KindInvalidKey, "it has %d bytes; allowed: 1 to %d", len(key), maxKeyBytes)
	}
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidVersion {
		return opaqueKey(workspace, key, opaque)
	}
	seconds, _ := parsed.Time().UnixTime()
	made := spokeclock.Millis(seconds) * spokeclock.Second
	if made < wall-KeyRetention {
		return "", spokeerror.Newf("read idempotency key", KindExpiredKey, "it is older than %d hours", KeyRetention/hourMillis)
	}
	if made > wall+futureLimit {
		return "", spokeerror.Newf("read idempotency key", KindInvalidKey, "its time is in the future")
	}
	return timedPrefix(workspace) + hour(made) + "/" + parsed.String(), nil
}

func opaqueKey(workspace, key string, opaque bool) (string, error) {
	if !opaque {
		return "", spokeerror.Newf("read idempotency key", KindInvalidKey, "%q is not a UUID of version 7, and the workspace does not allow opaque keys", key)
	}
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + opaquePart + workspace + "/" + hex.EncodeToString(sum[:]), nil
}

func timedPrefix(workspace string) string {
	return keyPrefix + "timed/" + workspace + "/"
}

const hourDigits = 8

// hour returns the hours since the epoch in eight digits, so that rows sort by
// time.
func hour(wall spokeclock.Millis) string {
	digits := make([]byte, hourDigits)
	rest := int64(wall / hourMillis)
	for i := hourDigits - 1; i >= 0; i-- {
		digits[i] = byte('0' + rest%10)
		rest /= 10
	}
	return string(digits)
}

// HashRequest returns the hash that tells one request from another under the
// same key.
func HashRequest(method, path string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method + " " + path + "\n"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}
