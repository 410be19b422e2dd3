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

// Header fields of requests and answers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Request-Deadline-Ms"  // milliseconds until the answer must have started
	HeaderOutcome        = "Bulrushshelf-Outcome" // ran, not-run or unknown; a target marks a shed answer with not-run
	HeaderReason         = "Bulrushshelf-Reason"  // of a refusal
	headerPrefix         = "Bulrushshelf-"
)

// maxDeadline bounds the deadline that a caller may ask for.
const maxDeadline = 24 * time.Hour

// hopByHop are the fields that hold for one connection only (RFC 9110, 7.6.1).
// Upgrade is not supported, so Upgrade is dropped and the target sees a plain
// request.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyEndToEnd copies the end-to-end fields from src to dst. Our own fields are
// left out, so that neither a caller nor a target can forge them.
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

// requestDeadline returns the time until the answer must have started.
func requestDeadline(h http.Header, byDefault time.Duration) (time.Duration, error) {
	v := h.Get(HeaderDeadline)
	if v == "" {
		return byDefault, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 0 {
		return 0, trace.BadParameter("%s %q is not a number of milliseconds", HeaderDeadline, v)
	}
	return min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline), nil
}

// streamingTypes are the content types of answers that may last for hours.
var streamingTypes = map[string]bool{
	"text/event-stream":         true,
	"application/x-ndjson":      true,
	"application/json-seq":      true,
	"multipart/x-mixed-replace": true,
}

// streaming reports whether an answer gives its slot back when it starts.
func streaming(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return streamingTypes[strings.ToLower(strings.TrimSpace(mediaType))]
}

func parseOutcome(v string) message.Outcome {
	for _, o := range []message.Outcome{message.OutcomeRan, message.OutcomeNotRun} {
		if v == o.String() {
			return o
		}
	}
	return message.OutcomeUnknown
}

// retryAfterSeconds rounds up, so that a caller does not come back too early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(max(1, (d+time.Second-1)/time.Second)))
}
