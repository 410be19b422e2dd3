package wire

import (
	"encoding/binary"
	"unicode/utf8"
)

// The envelope header is encoded and decoded without the CBOR library, which
// would allocate its fields for each datagram. Every data item has the shortest
// CBOR form.

// The CBOR major types, in the high bits of a data item's initial byte.
const (
	majorUint  = 0 << 5
	majorBytes = 2 << 5
	majorText  = 3 << 5
	majorArray = 4 << 5
	majorMask  = 7 << 5
)

// The values of the low bits of the initial byte that state the size of the
// argument after it.
const (
	argUint8 = 24 + iota
	argUint16
	argUint32
	argUint64
)

// header is the part of an envelope between the key id and the body. to and from
// alias the datagram.
type header struct {
	to, from         []byte
	incarnation, seq uint64
	kind             kind
}

// appendHead appends the head of a data item: its initial byte and argument.
func appendHead(dst []byte, major byte, arg uint64) []byte {
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
	return append(appendHead(dst, majorText, uint64(len(s))), s...)
}

// readHead reads the head of a data item and requires the given major type and
// the shortest form.
func readHead(data []byte, major byte) (arg uint64, rest []byte, ok bool) {
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

// readString reads a text or byte string. The result aliases data.
func readString(data []byte, major byte) (s, rest []byte, ok bool) {
	n, rest, ok := readHead(data, major)
	if !ok || n > uint64(len(rest)) {
		return nil, nil, false
	}
	return rest[:n], rest[n:], true
}

// readNodeID reads a node id, which may be empty.
func readNodeID(data []byte) (id, rest []byte, ok bool) {
	id, rest, ok = readString(data, majorText)
	return id, rest, ok && len(id) <= MaxNodeIDSize && utf8.Valid(id)
}

func appendHeader(dst []byte, to, from string, incarnation, seq uint64, k kind) []byte {
	dst = appendText(dst, to)
	dst = appendText(dst, from)
	dst = appendHead(dst, majorUint, incarnation)
	dst = appendHead(dst, majorUint, seq)
	return appendHead(dst, majorUint, uint64(k))
}

func readHeader(data []byte) (h header, body []byte, ok bool) {
	var number uint64
	if h.to, data, ok = readNodeID(data); !ok {
		return header{}, nil, false
	}
	if h.from, data, ok = readNodeID(data); !ok || len(h.from) == 0 {
		return header{}, nil, false
	}
	if h.incarnation, data, ok = readHead(data, majorUint); !ok {
		return header{}, nil, false
	}
	if h.seq, data, ok = readHead(data, majorUint); !ok {
		return header{}, nil, false
	}
	if number, data, ok = readHead(data, majorUint); !ok || number > maxKind {
		return header{}, nil, false
	}
	h.kind = kind(number)
	return h, data, true
}
