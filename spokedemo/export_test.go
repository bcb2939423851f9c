package spokedemo

import (
	"context"
	"net/http"
)

// IsReady exports isReady.
func IsReady(ctx context.Context, client *http.Client, url string) bool {
	return isReady(ctx, client, url)
}
