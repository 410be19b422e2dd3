package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/standin/clock"
)

// Guards against moved requests that are refused while both agents run, because their clocks are wrong
// in opposite directions, and against a moved request that is accepted twice after the clock of the
// receiver stepped back.
func TestMovedRequestsAreAcceptedOnceWhileClocksStep(t *testing.T) {
	is := is.New(t)
	const wrong = 20 * time.Second
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for _, ahead := range []time.Duration{wrong, -wrong} {
		clocks := []*clock.Clock{clock.New(start.Add(ahead)), clock.New(start.Add(-ahead))}
		var fronts []*Front
		for _, c := range clocks {
			fronts = append(fronts, &Front{nonces: newNonceCache(), opts: Options{
				Self: "a", Service: "s", Now: c.Now, MACKeys: func() [][]byte { return [][]byte{make([]byte, 32)} },
			}})
		}
		r, err := http.NewRequest(http.MethodPost, "http://10.80.0.1/confirm", nil)
		is.NoErr(err)
		fronts[0].signMoved(r, 1)
		is.Equal(fronts[1].verifyMoved(r), "")
		for range 100 {
			clocks[1].Advance(2 * time.Second)
			is.True(fronts[1].verifyMoved(r) != "")
			clocks[1].Step(-2 * ahead)
			is.True(fronts[1].verifyMoved(r) != "")
			clocks[1].Step(2 * ahead)
		}
	}
}
