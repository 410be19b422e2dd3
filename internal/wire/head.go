package wire

import (
	"encoding/binary"
	"unicode/utf8"
)

// The head is written and read by hand: the library would allocate its fields
// for each datagram. Every item has the shortest CBOR form.

// The major types of CBOR in the high bits of an item's first byte.
const (
	majorUint  = 0 << 5
	majorBytes = 2 << 5
	majorText  = 3 << 5
	majorArray = 4 << 5
	majorMask  = 7 << 5
)

// The values of the low bits that say how many bytes hold an item's argument.
const (
	argUint8 = 24 + iota
	argUint16
	argUint32
	argUint64
)

// header is the part of an envelope between the key id and the body. The names
// are parts of the datagram.
type header struct {
	to, from         []byte
	incarnation, seq uint64
	kind             kind
}

// appendItem appends the first bytes of an item of a major type.
func appendItem(dst []byte, major byte, arg uint64) []byte {
	switch {
	case arg < argUint8:
		return append(dst, major|byte(arg))
	case arg < 1<<8:
		return append(dst, major|argUint8, byte(arg))
	case arg < 1<<16:
		return binary.BigEndian.AppendUint16(append(dst, major|argUint16), uint16(arg))
	case arg < 1<<32:
		return binary.BigEndian.AppendUint32(append(dst, major|argUint32), uint32(arg))
	}
	return binary.BigEndian.AppendUint64(append(dst, major|argUint64), arg)
}

func appendText(dst []byte, s string) []byte {
	return append(appendItem(dst, majorText, uint64(len(s))), s...)
}

// readItem reads the first bytes of an item that must have a major type and the
// shortest form.
func readItem(data []byte, major byte) (arg uint64, rest []byte, ok bool) {
	if len(data) == 0 || data[0]&majorMask != major {
		return 0, nil, false
	}
	low, data := data[0]&^majorMask, data[1:]
	if low < argUint8 {
		return uint64(low), data, true
	}
	if low > argUint64 {
		return 0, nil, false
	}
	size := 1 << (low - argUint8)
	if len(data) < size {
		return 0, nil, false
	}
	for _, b := range data[:size] {
		arg = arg<<8 | uint64(b)
	}
	shortest := arg >= argUint8
	if size > 1 {
		shortest = arg>>(8*size/2) != 0
	}
	return arg, data[size:], shortest
}

// readString reads a text or byte string, which stays a part of data.
func readString(data []byte, major byte) (s, rest []byte, ok bool) {
	n, rest, ok := readItem(data, major)
	if !ok || n > uint64(len(rest)) {
		return nil, nil, false
	}
	return rest[:n], rest[n:], true
}

// readName reads the name of a node. The recipient's may be empty.
func readName(data []byte) (name, rest []byte, ok bool) {
	name, rest, ok = readString(data, majorText)
	return name, rest, ok && len(name) <= MaxNodeID && utf8.Valid(name)
}

func appendHeader(dst []byte, to, from string, incarnation, seq uint64, k kind) []byte {
	dst = appendText(dst, to)
	dst = appendText(dst, from)
	dst = appendItem(dst, majorUint, incarnation)
	dst = appendItem(dst, majorUint, seq)
	return appendItem(dst, majorUint, uint64(k))
}

func readHeader(data []byte) (h header, body []byte, ok bool) {
	var number uint64
	if h.to, data, ok = readName(data); !ok {
		return header{}, nil, false
	}
	if h.from, data, ok = readName(data); !ok || len(h.from) == 0 {
		return header{}, nil, false
	}
	if h.incarnation, data, ok = readItem(data, majorUint); !ok {
		return header{}, nil, false
	}
	if h.seq, data, ok = readItem(data, majorUint); !ok {
		return header{}, nil, false
	}
	if number, data, ok = readItem(data, majorUint); !ok || number > maxKind {
		return header{}, nil, false
	}
	h.kind = kind(number)
	return h, data, true
}
