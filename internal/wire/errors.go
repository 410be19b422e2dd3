package wire

// Error is the reason for which a message is not sealed or opened. It is
// comparable, carries no message content, and its Reason labels a counter.
type Error string

// The reasons.
const (
	// ErrTooLarge: the message does not fit a datagram.
	ErrTooLarge Error = "wire_too_large"
	// ErrEncode: the message cannot be encoded, for example a weight that is not a number.
	ErrEncode Error = "wire_encode"
	// ErrKind: a kind of message that this codec does not know.
	ErrKind Error = "wire_kind"
	// ErrMalformed: not the CBOR of an envelope or of its message.
	ErrMalformed Error = "wire_malformed"
	// ErrVersionOlder and ErrVersionNewer: another format version.
	ErrVersionOlder Error = "wire_version_older"
	ErrVersionNewer Error = "wire_version_newer"
	// ErrKey: signed with a key that is not accepted.
	ErrKey Error = "wire_key"
	// ErrMAC: the MAC does not match the content.
	ErrMAC Error = "wire_mac"
	// ErrRecipient: sealed for another process, or for none by a kind that needs one.
	ErrRecipient Error = "wire_recipient"
	// ErrSelf: the message names this process as its sender.
	ErrSelf Error = "wire_self"
	// ErrStale: the sender has a newer incarnation.
	ErrStale Error = "wire_stale_incarnation"
	// ErrReplay: the sequence was seen, or is older than the replay window.
	ErrReplay Error = "wire_replay"
)

// Error describes the refusal.
func (e Error) Error() string { return "peer message refused: " + string(e) }

// Reason returns the label for the drop counter.
func (e Error) Reason() string { return string(e) }
