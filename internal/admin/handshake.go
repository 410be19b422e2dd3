package admin

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

const (
	nonceBytes = 32
	// handshakeTimeout bounds how long a connection may stay unauthenticated.
	handshakeTimeout = 3 * time.Second
	// maxHandshakeLine is the longest line read before the peer is authenticated.
	maxHandshakeLine = 1024
)

// The MAC covers the role of its sender, so that one side's MAC can't be reflected as the
// other's.
const (
	roleClient = "bulrushshelf admin client"
	roleNode   = "bulrushshelf admin node"
)

// Messages of the handshake, one JSON line each: the node sends a nonce, the client its own
// nonce and a MAC, and the node its MAC or an error.
type (
	nodeChallenge struct {
		Nonce []byte `json:"nonce"`
	}
	clientProof struct {
		Nonce []byte `json:"nonce"`
		MAC   []byte `json:"mac"`
	}
	authResult struct {
		MAC   []byte `json:"mac,omitempty"`
		Error string `json:"error,omitempty"`
	}
)

// mac authenticates both nonces with the shared key.
func mac(key settings.Secret, role string, nodeNonce, clientNonce []byte) []byte {
	h := hmac.New(sha256.New, key.Bytes())
	h.Write([]byte(role))
	h.Write(nodeNonce)
	h.Write(clientNonce)
	return h.Sum(nil)
}

// authConn is a connection that starts with the handshake. All reads go through r, which may
// have buffered bytes that follow the last line of the handshake.
type authConn struct {
	net.Conn
	r *bufio.Reader
}

func (c *authConn) Read(p []byte) (int, error) { return c.r.Read(p) }

func newAuthConn(c net.Conn) *authConn {
	return &authConn{Conn: c, r: bufio.NewReaderSize(c, maxHandshakeLine)}
}

func (c *authConn) readLine(out any) error {
	line, err := c.r.ReadSlice('\n')
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(line, out))
}

func (c *authConn) writeLine(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.Write(append(data, '\n'))
	return trace.Wrap(err)
}

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n) // crypto/rand documents that it never fails
	return n
}

// serverHandshake runs the node's side of the handshake. It returns the reason of a failure,
// or "" on success.
func (c *authConn) serverHandshake(keys []settings.Secret) (reason string) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return ReasonHandshake
	}
	nonce := newNonce()
	var p clientProof
	if c.writeLine(nodeChallenge{nonce}) != nil || c.readLine(&p) != nil || len(p.Nonce) != nonceBytes {
		_ = c.writeLine(authResult{Error: "the handshake is not valid"})
		return ReasonHandshake
	}
	for _, k := range keys {
		if !hmac.Equal(p.MAC, mac(k, roleClient, nonce, p.Nonce)) {
			continue
		}
		if c.writeLine(authResult{MAC: mac(k, roleNode, nonce, p.Nonce)}) != nil || c.SetDeadline(time.Time{}) != nil {
			return ReasonHandshake
		}
		return ""
	}
	_ = c.writeLine(authResult{Error: "the key is not accepted"})
	return ReasonKey
}

// clientHandshake runs the client's side of the handshake.
func (c *authConn) clientHandshake(key settings.Secret) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.ConvertSystemError(err)
	}
	var ch nodeChallenge
	if err := c.readLine(&ch); err != nil {
		return trace.ConnectionProblem(err, "admin handshake")
	}
	nonce := newNonce()
	if err := c.writeLine(clientProof{Nonce: nonce, MAC: mac(key, roleClient, ch.Nonce, nonce)}); err != nil {
		return trace.ConnectionProblem(err, "admin handshake")
	}
	var v authResult
	if err := c.readLine(&v); err != nil {
		return trace.ConnectionProblem(err, "admin handshake")
	}
	if v.Error != "" {
		return trace.AccessDenied("the node refused the connection: %s", v.Error)
	}
	if !hmac.Equal(v.MAC, mac(key, roleNode, ch.Nonce, nonce)) {
		return trace.AccessDenied("the node does not know the shared key")
	}
	return trace.Wrap(c.SetDeadline(time.Time{}))
}
