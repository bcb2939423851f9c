package spokedemo

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
)

// Apply applies a declaration and waits until every entry instance is ready.
// It returns an error of kind KindStartFailed if the declaration is rejected or
// an entry instance is not ready within readyTimeout.
func (l *LocalDeployment) Apply(ctx context.Context, declaration []byte) error {
	client := spokeoperate.NewClient(l.OperatorURLs()[0], l.Example.Deployment.OperatorKey)
	if _, err := client.Apply(ctx, string(declaration), spokeoperate.NewestRevision, false, uuid.NewString()); err != nil {
		return spokeerror.New("apply declaration", KindStartFailed, err)
	}
	return l.waitReady(ctx)
}

func (l *LocalDeployment) waitReady(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	client := spokehttp.NewClient()
	for _, url := range l.CallerURLs() {
		for !isReady(waitCtx, client, url) {
			if spokeclock.Sleep(waitCtx, readyPollInterval) != nil {
				return spokeerror.Newf("wait for entry instance", KindStartFailed, "%s is not ready in time", url)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}
