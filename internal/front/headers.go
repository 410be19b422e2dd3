package front

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/gravitational/trace"
)

// Header fields of requests and responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Request-Deadline-Ms"  // milliseconds until the response must have started
	HeaderOutcome        = "Bulrushshelf-Outcome" // ran, not-run or unknown; not-run from a target: it shed the request
	HeaderReason         = "Bulrushshelf-Reason"  // why a request was refused
	headerPrefix         = "Bulrushshelf-"
)

// maxDeadline is the longest deadline that a caller can set; longer ones are reduced to it.
const maxDeadline = 24 * time.Hour

// hopByHop are the header fields that apply to a single connection (RFC 9110, section 7.6.1).
// Protocol upgrades are not supported: Upgrade is dropped and the target receives a plain
// request.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyEndToEnd copies the end-to-end header fields from src to dst. It omits Bulrushshelf-*
// fields, so that neither a caller nor a target can forge them.
func copyEndToEnd(dst, src http.Header) {
	drop := make(map[string]bool, len(hopByHop))
	for _, h := range hopByHop {
		drop[h] = true
	}
	for _, v := range src["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	for name, values := range src {
		if !drop[name] && !strings.HasPrefix(name, headerPrefix) {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// requestDeadline returns the time until the response must have started.
func requestDeadline(h http.Header, defaultDeadline time.Duration) (time.Duration, error) {
	v := h.Get(HeaderDeadline)
	if v == "" {
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 0 {
		return 0, trace.BadParameter("%s %q is not a number of milliseconds", HeaderDeadline, v)
	}
	return min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline), nil
}

// streamingTypes are the content types of feeds.
var streamingTypes = map[string]bool{
	"text/event-stream":         true,
	"application/x-ndjson":      true,
	"application/json-seq":      true,
	"multipart/x-mixed-replace": true,
}

// isStreaming reports whether a response is a feed, which frees its slot when it starts.
func isStreaming(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return streamingTypes[strings.ToLower(strings.TrimSpace(mediaType))]
}

// parseOutcome parses a Bulrushshelf-Outcome field; other values mean that it is unknown.
func parseOutcome(v string) message.Outcome {
	for _, o := range []message.Outcome{message.OutcomeRan, message.OutcomeNotRun} {
		if v == o.String() {
			return o
		}
	}
	return message.OutcomeUnknown
}

// retryAfterSeconds formats d for Retry-After. It rounds up, so that no caller retries early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(max(1, (d+time.Second-1)/time.Second)))
}
