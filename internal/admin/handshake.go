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

// The roles in the MAC keep one side's proof from being sent back as the other's.
const (
	roleClient = "bulrushshelf admin client"
	roleNode   = "bulrushshelf admin node"
)

// The lines of the handshake, in order: challenge from the node, proof from the
// client, verdict from the node with its own proof.
type (
	challenge struct {
		Nonce []byte `json:"nonce"`
	}
	proof struct {
		Nonce []byte `json:"nonce"`
		MAC   []byte `json:"mac"`
	}
	verdict struct {
		MAC   []byte `json:"mac,omitempty"`
		Error string `json:"error,omitempty"`
	}
)

func mac(key settings.Secret, role string, nodeNonce, clientNonce []byte) []byte {
	h := hmac.New(sha256.New, key.Bytes())
	h.Write([]byte(role))
	h.Write(nodeNonce)
	h.Write(clientNonce)
	return h.Sum(nil)
}

// authConn is a connection whose handshake is done; the reader may hold bytes
// that arrived with the last line.
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
	_, _ = rand.Read(n) // never fails, see crypto/rand
	return n
}

// serveHandshake authenticates a client. The reason is empty on success.
func (c *authConn) serveHandshake(keys []settings.Secret) (reason string) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return ReasonHandshake
	}
	nonce := newNonce()
	var p proof
	if c.writeLine(challenge{nonce}) != nil || c.readLine(&p) != nil || len(p.Nonce) != nonceBytes {
		_ = c.writeLine(verdict{Error: "the handshake is not valid"})
		return ReasonHandshake
	}
	for _, k := range keys {
		if !hmac.Equal(p.MAC, mac(k, roleClient, nonce, p.Nonce)) {
			continue
		}
		if c.writeLine(verdict{MAC: mac(k, roleNode, nonce, p.Nonce)}) != nil || c.SetDeadline(time.Time{}) != nil {
			return ReasonHandshake
		}
		return ""
	}
	_ = c.writeLine(verdict{Error: "the key is not accepted"})
	return ReasonKey
}

// handshake authenticates the client to the node and the node to the client.
func (c *authConn) handshake(key settings.Secret) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.ConvertSystemError(err)
	}
	var ch challenge
	if err := c.readLine(&ch); err != nil {
		return trace.ConnectionProblem(err, "admin handshake")
	}
	nonce := newNonce()
	if err := c.writeLine(proof{Nonce: nonce, MAC: mac(key, roleClient, ch.Nonce, nonce)}); err != nil {
		return trace.ConnectionProblem(err, "admin handshake")
	}
	var v verdict
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
