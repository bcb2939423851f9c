package spokeoperate

import (
	"crypto/subtle"
	"strings"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

const (
	outcomeNotRun     = "not_run"
	outcomeUnknown    = "outcome_unknown"
	retryAfterSeconds = 1
)

// Authenticator checks the key of an operator's call.
type Authenticator struct {
	// KeySHA256 is the hexadecimal SHA-256 of the operators' key.
	KeySHA256 string
}

// authenticate returns nil if the authorization header contains the operators'
// key, and the refusal to return otherwise.
func (a Authenticator) authenticate(authorization *string) *types.Refusal {
	key := ""
	if authorization != nil {
		key = strings.TrimPrefix(*authorization, "Bearer ")
	}
	hash := spokeconfig.HashKey(key)
	if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(a.KeySHA256))) == 1 {
		return nil
	}
	return refuse("unauthorized", "unauthorized", outcomeNotRun, errWrongKey)
}

func refuse(name, kind, outcome string, err error) *types.Refusal {
	return &types.Refusal{
		Name:       name,
		Detail:     &types.RefusalDetail{Message: err.Error(), Type: kind, Code: kind, Outcome: outcome, Scope: "request"},
		RetryAfter: retryAfterSeconds,
	}
}
