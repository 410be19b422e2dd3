package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/front"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
)

// closeFlushDelay is the time for the last segments of the connection to be sent. Without
// them, the agent keeps the flow until its TCP keepalive fails.
const closeFlushDelay = 100 * time.Millisecond

type requestCommand struct {
	*app   `no-flag:"true"`
	Fabric []ipPort `long:"fabric" value-name:"IP:port" required:"true" description:"fabric address of a balancer; may be repeated; each packet goes to a random one"`
	Return ipPort   `long:"return" value-name:"IP:port" required:"true" description:"fabric_return_address of the agents, which is bound here"`
	Caller string   `long:"caller" value-name:"IP" default:"10.1.0.1" description:"address of the caller"`
	Method string   `short:"X" long:"method" default:"GET" description:"HTTP method"`
	Body   string   `short:"d" long:"body" value-name:"TEXT" description:"body of the request"`
	Header []string `short:"H" long:"header" value-name:"NAME:VALUE" description:"header of the request; may be repeated"`
	Args   struct {
		URL string `positional-arg-name:"URL" description:"http://IP:port/path of the service"`
	} `positional-args:"true" required:"true"`
}

// response is the JSON output of request.
type response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

// request builds the HTTP request from the flags.
func (c *requestCommand) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.Args.URL, strings.NewReader(c.Body))
	if err == nil && req.URL.Scheme != "http" {
		err = fmt.Errorf("%q is not http://IP:port/path", c.Args.URL)
	}
	if err != nil {
		return nil, err
	}
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("header %q is not NAME:VALUE", h)
		}
		req.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return req, nil
}

// Execute runs request.
func (c *requestCommand) Execute([]string) error {
	ctx, cancel := c.callContext()
	defer cancel()
	req, err := c.request(ctx)
	addr, errCaller := netip.ParseAddr(c.Caller)
	if err := errors.Join(err, errCaller); err != nil {
		return withExitCode(ExitUsage, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Return.AddrPort))
	if err != nil {
		return withExitCode(ExitUnavailable, err)
	}
	defer conn.Close()
	send := func(packet []byte) { // no error handling: TCP retransmits a lost packet
		_, _ = conn.WriteToUDPAddrPort(packet, c.Fabric[rand.IntN(len(c.Fabric))].AddrPort)
	}
	stack, err := netstack.New(netstack.Options{Output: send, Addrs: []netip.Addr{addr}})
	if err != nil {
		return trace.Wrap(err)
	}
	defer stack.Close()
	go func() {
		for buf := make([]byte, 1<<16); ; {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			stack.Inject(buf[:n])
		}
	}()
	return c.send(req, stack)
}

// send sends the request once and prints the response. If the connection was opened and no
// complete response arrived, the request may have run.
func (c *requestCommand) send(req *http.Request, stack *netstack.Stack) error {
	var exitCode atomic.Int32 // atomic: a dial may go on after RoundTrip returns
	exitCode.Store(ExitUnavailable)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			service, err := netip.ParseAddrPort(addr)
			if err != nil {
				exitCode.Store(ExitUsage)
				return nil, err
			}
			conn, err := stack.Dial(ctx, service)
			if err == nil {
				exitCode.Store(ExitUnknown)
			}
			return conn, err
		}}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return withExitCode(int(exitCode.Load()), fmt.Errorf("request to %s: %w", req.URL, err))
	}
	err = c.printResponse(resp)
	_ = resp.Body.Close()
	time.Sleep(closeFlushDelay)
	reason := resp.Header.Get(front.HeaderReason)
	switch outcome := resp.Header.Get(front.HeaderOutcome); {
	case outcome == message.OutcomeNotRun.String():
		return exitErrorf(ExitRefused, "the request was not run: %s", reason)
	case err != nil:
		return withExitCode(ExitUnknown, fmt.Errorf("incomplete response: %w", err))
	case outcome == message.OutcomeUnknown.String():
		return exitErrorf(ExitUnknown, "it is unknown whether the request ran: %s", reason)
	}
	return nil
}

func (c *requestCommand) printResponse(resp *http.Response) error {
	if c.JSON {
		body, err := io.ReadAll(resp.Body)
		return errors.Join(err, c.print(response{resp.StatusCode, resp.Header, string(body)}, nil))
	}
	c.printf("%s %s\n", resp.Proto, resp.Status)
	_ = resp.Header.Write(c.out)
	c.printf("\n")
	_, err := io.Copy(c.out, resp.Body)
	return err
}
