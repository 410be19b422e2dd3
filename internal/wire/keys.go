package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"sync"

	"github.com/gravitational/trace"
)

const (
	macSize    = 16
	minKeySize = 16 // bytes; a shorter key is weaker than the MAC
	maxKeys    = 2
	keyIDSize  = 5 // CBOR initial byte and 4 bytes

	uint32InitialByte = 0x1a // of a 4-byte unsigned integer in CBOR
)

// key is one accepted key. It uses values derived from the configured key, so
// that a MAC of this protocol is never valid in another protocol with that key.
type key struct {
	id     [keyIDSize]byte // as encoded in the datagram
	states sync.Pool       // of *macState
}

type macState struct {
	mac hash.Hash
	sum [sha256.Size]byte
}

func newKey(secret []byte) *key {
	k := &key{id: [keyIDSize]byte{uint32InitialByte}}
	copy(k.id[1:], deriveKey(secret, "bulrushshelf wire key id"))
	k.id[1] |= 0x80 // so that the 4-byte form is the shortest form of the value
	macKey := deriveKey(secret, "bulrushshelf wire mac")
	k.states.New = func() any { return &macState{mac: hmac.New(sha256.New, macKey)} }
	return k
}

func deriveKey(secret []byte, label string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(label))
	return h.Sum(nil)
}

// appendMAC appends the MAC of signed to dst.
func (k *key) appendMAC(dst, signed []byte) []byte {
	s := k.sum(signed)
	defer k.states.Put(s)
	return append(dst, s.sum[:macSize]...)
}

func (k *key) verify(signed, mac []byte) bool {
	s := k.sum(signed)
	defer k.states.Put(s)
	return hmac.Equal(s.sum[:macSize], mac)
}

func (k *key) sum(signed []byte) *macState {
	s := k.states.Get().(*macState)
	s.mac.Reset()
	s.mac.Write(signed)
	s.mac.Sum(s.sum[:0])
	return s
}

// keySet holds the accepted keys; the first one signs.
type keySet struct{ keys []*key }

func newKeySet(secrets [][]byte) (*keySet, error) {
	if len(secrets) == 0 || len(secrets) > maxKeys {
		return nil, trace.BadParameter("%d peer keys are set, 1 or %d are allowed", len(secrets), maxKeys)
	}
	ks := &keySet{}
	for i, secret := range secrets {
		if len(secret) < minKeySize {
			return nil, trace.BadParameter("peer key %d has %d bytes, the minimum is %d", i+1, len(secret), minKeySize)
		}
		k := newKey(secret)
		if ks.find(k.id) != nil {
			return nil, trace.BadParameter("both peer keys have the same key id, replace one")
		}
		ks.keys = append(ks.keys, k)
	}
	return ks, nil
}

func (ks *keySet) signingKey() *key { return ks.keys[0] }

func (ks *keySet) find(id [keyIDSize]byte) *key {
	for _, k := range ks.keys {
		if k.id == id {
			return k
		}
	}
	return nil
}
