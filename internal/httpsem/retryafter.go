package httpsem

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RetryAfter returns the time that the Retry-After fields of a response ask for, the longest if there
// are several; 0 if there is none. A field is a number of seconds, which may have a fraction, or an
// HTTP date (RFC 9110), which is compared with the response's own date if it has one. received is when
// the response arrived. invalid is a value that is neither, or a negative number.
func RetryAfter(h http.Header, received time.Time) (wait time.Duration, invalid string) {
	for _, text := range h.Values("Retry-After") {
		d, ok := parseRetryAfter(strings.TrimSpace(text), h.Get("Date"), received)
		if !ok {
			invalid = text
		}
		wait = max(wait, d)
	}
	return wait, invalid
}

func parseRetryAfter(text, date string, received time.Time) (wait time.Duration, ok bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return fromSeconds(seconds)
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	if sent, err := http.ParseTime(date); err == nil {
		received = sent
	}
	return max(0, until.Sub(received)), true
}

// fromSeconds converts a number of seconds; ok is false if it is negative or not a number.
func fromSeconds(seconds float64) (d time.Duration, ok bool) {
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	if seconds > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
