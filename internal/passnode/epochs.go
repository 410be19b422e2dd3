package passnode

import (
	"context"

	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

// watchEpochs passes on each epoch of the store that a response shows, and the one before.
func watchEpochs(ctx context.Context, store *storeclient.Client, handle func(epoch, before uint64)) error {
	for last := uint64(0); ; {
		epoch, changed := store.Epoch()
		if epoch != last {
			handle(epoch, last)
			last = epoch
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
