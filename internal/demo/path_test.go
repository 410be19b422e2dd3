package demo

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/standin/caller"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// Guards against a failure anywhere on the path from a caller through the fabric, a
// balancer and an agent to a target and back.
func TestRequestIsServedFromEndToEnd(t *testing.T) {
	is := is.New(t)
	spec, err := Deployment("varmevej")
	is.NoErr(err)
	logger, err := telemetry.NewLogger(t.Output(), "info", "demo", "test")
	is.NoErr(err)
	c, err := NewCluster(spec, 1, logger)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.StartAll(2))

	call, err := caller.New(c.Fabric, netip.MustParseAddr("10.1.0.1"))
	is.NoErr(err)
	defer call.Close()
	for i := range 20 {
		resp, err := call.Client(false).Post("http://10.80.0.1:80/confirm", "text/plain", strings.NewReader(fmt.Sprint("step ", i)))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		t.Log(resp.StatusCode, resp.Header, string(body))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}
