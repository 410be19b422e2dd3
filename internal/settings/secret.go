package settings

import (
	"encoding/base64"
	"errors"
	"fmt"
)

// MinSecretBytes is the minimum length of a key: the output size of SHA-256.
const MinSecretBytes = 32

const redacted = "[redacted]"

// Secret is a shared key. It prints and encodes as "[redacted]" in every format.
type Secret struct{ bytes []byte }

// NewSecret returns a secret with a copy of the given bytes.
func NewSecret(b []byte) (Secret, error) {
	if len(b) < MinSecretBytes {
		return Secret{}, fmt.Errorf("the key has %d bytes, fewer than %d", len(b), MinSecretBytes)
	}
	return Secret{bytes: append([]byte(nil), b...)}, nil
}

// ParseSecret decodes a secret from standard base64. Its errors do not quote the text.
func ParseSecret(text string) (Secret, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return Secret{}, errors.New("the key is not valid base64")
	}
	return NewSecret(b)
}

// Bytes returns the key in plain form.
func (s Secret) Bytes() []byte { return s.bytes }

// String returns "[redacted]".
func (s Secret) String() string { return redacted }

// GoString returns "[redacted]".
func (s Secret) GoString() string { return redacted }

// Format writes "[redacted]" for every verb; without it %x and %d would print the bytes.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText returns "[redacted]".
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalJSON returns "[redacted]".
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }

// MarshalYAML returns "[redacted]".
func (s Secret) MarshalYAML() (any, error) { return redacted, nil }
