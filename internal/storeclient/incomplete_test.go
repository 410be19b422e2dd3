package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// A watch after a position of which the client can't read the changes lists the objects
// instead of repeating the call.
func TestFaultChangesAreMoreThanAResponseMayHold(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter, r *http.Request){
		"above the limit": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte(" "), maxResponseBytes+1))
		},
		"length above the limit": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(maxResponseBytes+1))
			w.(http.Flusher).Flush()
		},
		"too slow for its timeout": func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(`{"changes":`))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
		"ends early": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"changes":`))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := store.New(store.Options{})
			first, err := s.Preload("d/a", []byte("one"))
			is.NoErr(err)
			last, err := s.Preload("d/b", []byte("two"))
			is.NoErr(err)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == storeapi.WatchPath && r.URL.Query().Get("after") == fmt.Sprint(first) {
					respond(w, r)
					return
				}
				s.ServeHTTP(w, r)
			}))
			t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
			c, err := New(Options{URL: srv.URL, AttemptTimeout: 100 * time.Millisecond, Backoff: time.Millisecond, WatchWait: 50 * time.Millisecond})
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var got []Batch
			_ = c.Watch(ctx, "d/", Position{Epoch: storeapi.FirstEpoch, Revision: first}, func(b Batch) error {
				got = append(got, b)
				return context.Canceled
			})
			is.Equal(len(got), 1) // the watch goes on within the 2 s
			is.True(got[0].Reset)
			is.Equal(got[0].Position.Revision, last)
			is.Equal(string(got[0].Changes[1].Content), "two")
		})
	}
}

// The largest page that a store may return fits.
func TestLargestPageIsRead(t *testing.T) {
	is := is.New(t)
	page := storeapi.Page{Revision: 1, Objects: []Object{
		{Path: "d/a", Version: 1, Content: make([]byte, storeapi.MaxPageBytes)}, {Path: "d/b", Version: 1, Content: make([]byte, storeapi.MaxContentBytes)},
	}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(page) }))
	t.Cleanup(srv.Close)
	c, err := New(Options{URL: srv.URL})
	is.NoErr(err)
	l, err := c.List(context.Background(), "d/")
	is.NoErr(err)
	is.Equal(l.Objects, page.Objects)
}
