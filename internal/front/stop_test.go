package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// queueListener hands out connections that were accepted before, as netstack does, also
// after Close.
type queueListener struct {
	net.Listener // for the address
	conns        chan net.Conn
	closed       chan struct{}
	once         sync.Once
	release      chan struct{} // Accept returns no connection before it is closed
}

func (l *queueListener) Accept() (net.Conn, error) {
	<-l.release
	select {
	case c := <-l.conns:
		return c, nil
	default:
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *queueListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Guards against requests that are cut off without an answer because the agent stops
// right after their connections were accepted.
func TestFaultStopWithAcceptedConnections(t *testing.T) {
	for round := range 20 {
		is := is.New(t)
		target := handlerTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		const callers = 4
		ln := &queueListener{Listener: tcp, conns: make(chan net.Conn, callers), closed: make(chan struct{}), release: make(chan struct{})}
		c := newClusterWith(t, func(o *Options) { o.Listener = ln }, target)
		var answers sync.WaitGroup
		results := make(chan error, callers)
		for range callers {
			conn, err := net.Dial("tcp", tcp.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			accepted, err := tcp.Accept()
			is.NoErr(err)
			ln.conns <- accepted
			answers.Go(func() {
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				results <- err
			})
		}
		c.cancel[0]()
		time.Sleep(time.Duration(round%4) * time.Millisecond)
		close(ln.release)
		answers.Wait()
		for range callers {
			is.NoErr(<-results) // each caller gets an answer
		}
		_ = tcp.Close()
	}
}

// duplicatingTarget answers each request twice on its connection, the second time late,
// and keeps the connection open.
func duplicatingTarget(t *testing.T, late time.Duration) *url.URL {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = ln.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for ctx.Err() == nil {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body := req.URL.Path
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(conn, answer)
			go func() {
				time.Sleep(late)
				_, _ = io.WriteString(conn, answer)
			}()
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return &url.URL{Scheme: "http", Host: ln.Addr().String()}
}

// Guards against a second copy of an answer, sent late, that reaches the next caller.
func TestFaultTargetAnswersTwice(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		is := is.New(t)
		c := newCluster(t, duplicatingTarget(t, late))
		for i := range 40 {
			path := fmt.Sprintf("/%d-%d", late, i)
			resp, body := do(t, http.MethodGet, c.urls[0]+path, "")
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, path)
		}
	}
}
