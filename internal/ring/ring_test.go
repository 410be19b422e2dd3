package ring

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a full ring that blocks its producer or grows.
func TestFullRingDropsNewest(t *testing.T) {
	is := is.New(t)
	drops := 0
	r := New[int](2, func() { drops++ })
	is.True(r.Put(1))
	is.True(r.Put(2))
	is.True(!r.Put(3))
	is.Equal(drops, 1)
	is.Equal(r.Dropped(), uint64(1))
	is.Equal(r.Len(), 2)

	v, ok := r.Get(context.Background())
	is.True(ok)
	is.Equal(v, 1) // the oldest item survives the drop
	is.Equal(<-r.Items(), 2)
}

// Guards against a consumer that blocks forever at shutdown.
func TestGetEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := New[int](1, nil).Get(ctx)
	is.True(!ok)
}
