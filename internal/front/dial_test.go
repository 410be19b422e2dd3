package front

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are refused, or moved to another agent, because this process
// did not run while it opened a connection, and against a long wait for a target that
// accepts none.
func TestDialsAreRepeatedAfterAPause(t *testing.T) {
	tests := []struct {
		name  string
		takes []time.Duration // by attempt
		fails bool
		dials int
	}{
		{"accepted", []time.Duration{time.Millisecond}, false, 1},
		{"accepted after a pause", []time.Duration{3 * time.Second, time.Millisecond}, false, 2},
		{"accepted late", []time.Duration{3 * time.Second}, false, 1},
		{"not accepted", []time.Duration{dialTimeout, time.Millisecond}, true, 1},
		{"refused after a pause", []time.Duration{3 * time.Second, time.Millisecond}, true, 2},
		{"always paused", []time.Duration{3 * time.Second, 3 * time.Second, 3 * time.Second, 3 * time.Second, 3 * time.Second}, true, maxDials},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now, dials := time.Unix(0, 0), 0
			dial := redialAfterPause(func(context.Context, string, string) (net.Conn, error) {
				now = now.Add(tt.takes[dials])
				dials++
				if tt.fails || dials < tt.dials {
					return nil, os.ErrDeadlineExceeded
				}
				return nil, nil
			}, func() time.Time { return now })
			_, err := dial(context.Background(), "tcp", "127.0.0.1:80")
			is.Equal(err != nil, tt.fails)
			is.Equal(dials, tt.dials)
		})
	}
}

// Guards against attempts for a request whose caller has gone or whose deadline has passed.
func TestDialsEndWithTheRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	now, dials := time.Unix(0, 0), 0
	dial := redialAfterPause(func(context.Context, string, string) (net.Conn, error) {
		dials++
		now = now.Add(3 * time.Second)
		cancel()
		return nil, os.ErrDeadlineExceeded
	}, func() time.Time { return now })
	_, err := dial(ctx, "tcp", "127.0.0.1:80")
	is.True(err != nil)
	is.Equal(dials, 1)
}
