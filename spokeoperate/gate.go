package spokeoperate

import (
	"crypto/subtle"
	"strings"

	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "outcome_unknown"
	retrySeconds   = 1
)

// Authenticator lets operators in.
type Authenticator struct {
	// KeySHA256 is the hexadecimal SHA-256 of the operators' key.
	KeySHA256 string
}

func (g Authenticator) check(authorization *string) *types.Refusal {
	key := ""
	if authorization != nil {
		key = strings.TrimPrefix(*authorization, "Bearer ")
	}
	hash := spokeconfig.HashKey(key)
	if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(g.KeySHA256))) == 1 {
		return nil
	}
	return refuse("unauthorized", "unauthorized", outcomeNotRun, errWrongKey)
}

func refuse(name, kind, outcome string, err error) *types.Refusal {
	return &types.Refusal{
		Name:       name,
		Detail:     &types.RefusalDetail{Message: err.Error(), Type: kind, Code: kind, Outcome: outcome, Scope: "request"},
		RetryAfter: retrySeconds,
	}
}
