package spokecloud_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

type listCase struct {
	Name string `yaml:"name"`
	// Entry is an entry of the lists of instances and of notices, before a sound one.
	Entry string `yaml:"entry"`
	// IsRead is whether it is one of an instance, and IsNotice of a notice.
	IsRead   bool `yaml:"read"`
	IsNotice bool `yaml:"notice"`
}

// TestOddInstances guards against one entry that makes the whole list of instances, or of
// reclaim notices, unreadable.
func TestOddInstances(t *testing.T) {
	for _, c := range spokecase.Read[[]listCase](t, "testdata/instances.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/notices" {
					_, _ = io.WriteString(w, `{"notices":[`+c.Entry+`,{"instance":"sound","left_millis":5}]}`)
					return
				}
				_, _ = io.WriteString(w, `{"instances":[`+c.Entry+`,{"name":"sound","role":"backend","slots":4}]}`)
			}))
			defer server.Close()
			cloud := &spokecloud.Cloud{URL: server.URL, ListURL: server.URL, Client: spokehttp.NewClient()}
			instances, _, err := cloud.ListInstances(context.Background())
			require.NoError(t, err)
			require.Len(t, instances, map[bool]int{false: 1, true: 2}[c.IsRead])
			require.Equal(t, "sound", instances[len(instances)-1].Name)
			notices, err := cloud.ReclaimNotices(context.Background())
			require.NoError(t, err)
			require.Len(t, notices, map[bool]int{false: 1, true: 2}[c.IsNotice])
			require.Equal(t, "sound", notices[len(notices)-1].Instance)
		})
	}
}
