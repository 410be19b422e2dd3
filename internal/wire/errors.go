package wire

// Error is the reason a message cannot be sealed or opened. It is comparable,
// contains no message content, and its Reason labels a counter.
type Error string

// The reasons for refusing a message.
const (
	// ErrTooLarge: the message does not fit a datagram.
	ErrTooLarge Error = "wire_too_large"
	// ErrEncode: the message cannot be encoded, for example because a weight is NaN.
	ErrEncode Error = "wire_encode"
	// ErrKind: the message kind is unknown to this codec.
	ErrKind Error = "wire_kind"
	// ErrMalformed: the envelope or the message in it is not valid CBOR.
	ErrMalformed Error = "wire_malformed"
	// ErrVersionOlder and ErrVersionNewer: the datagram has another format version.
	ErrVersionOlder Error = "wire_version_older"
	ErrVersionNewer Error = "wire_version_newer"
	// ErrKey: the datagram is signed with a key that is not configured.
	ErrKey Error = "wire_key"
	// ErrMAC: the MAC does not match the content.
	ErrMAC Error = "wire_mac"
	// ErrRecipient: the message names another process as its recipient, or none
	// although its kind requires one.
	ErrRecipient Error = "wire_recipient"
	// ErrSelf: the message names this process as its sender.
	ErrSelf Error = "wire_self"
	// ErrStale: a message of a newer incarnation of the sender was already accepted.
	ErrStale Error = "wire_stale_incarnation"
	// ErrReplay: the sequence was already accepted, or is below the replay window.
	ErrReplay Error = "wire_replay"
)

// Error implements error.
func (e Error) Error() string { return "peer message refused: " + string(e) }

// Reason returns the label for the drop counter.
func (e Error) Reason() string { return string(e) }
