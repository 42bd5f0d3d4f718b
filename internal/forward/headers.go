package forward

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
)

// Path is the path on the traffic listener that serves hops.
const Path = "/v1/forward"

// Header names of a hop.
const (
	headerPrefix      = "Tarragon-Hop-"
	headerToken       = headerPrefix + "Token"
	headerID          = headerPrefix + "Id"
	headerAttempt     = headerPrefix + "Attempt"
	headerService     = headerPrefix + "Service"
	headerServer      = headerPrefix + "Server"
	headerIncarnation = headerPrefix + "Incarnation"
	headerMethod      = headerPrefix + "Method"
	headerPath        = headerPrefix + "Path"
	headerIdempotent  = headerPrefix + "Idempotent"
	headerKey         = headerPrefix + "Key"
	headerCallerKey   = headerPrefix + "Caller-Key"
	headerAccount     = headerPrefix + "Account"
	headerCaller      = headerPrefix + "Caller"
	headerWeight      = headerPrefix + "Weight"
	headerDeadline    = headerPrefix + "Deadline-Us"
	headerStatus      = headerPrefix + "Status"
	headerRunning     = headerPrefix + "Running"
	headerQueued      = headerPrefix + "Queued"
	headerCode        = headerPrefix + "Code"
	headerDetail      = headerPrefix + "Detail"
	headerReplayed    = headerPrefix + "Replayed"
	headerFenced      = headerPrefix + "Fenced"
)

// maxHopDeadline is well above the largest value of limits.max_deadline. A larger number of
// microseconds could overflow a time.Duration and result in another time.
const maxHopDeadline = 24 * time.Hour

// Token derives the credential of a hop from the fleet's secret.
func Token(secret string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("tarragonford traffic"))
	return hex.EncodeToString(mac.Sum(nil))
}

// hopByHopHeaders lists the connection-specific headers that must not be forwarded, RFC 9110,
// section 7.6.1.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyEndToEnd copies the end-to-end headers. It leaves out Content-Length, hop-by-hop headers,
// and the headers with the metadata of a hop.
func CopyEndToEnd(dst, src http.Header) {
	for name, values := range src {
		if strings.HasPrefix(name, headerPrefix) || name == "Content-Length" {
			continue
		}
		dst[name] = values
	}
	for _, value := range src["Connection"] {
		for _, name := range strings.Split(value, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
}

func (r *Request) encode(h http.Header, token string, now time.Time) {
	CopyEndToEnd(h, r.Header)
	h.Del(api.HeaderIdempotencyKey)
	h.Set(headerToken, token)
	h.Set(headerID, r.ID)
	h.Set(headerAttempt, strconv.Itoa(r.Attempt))
	h.Set(headerService, r.Service)
	h.Set(headerServer, r.Server)
	h.Set(headerIncarnation, strconv.FormatUint(r.ServerIncarnation, 10))
	h.Set(headerMethod, r.Method)
	h.Set(headerPath, r.Path)
	h.Set(headerDeadline, strconv.FormatInt(r.Deadline.Sub(now).Microseconds(), 10))
	if r.Idempotent {
		h.Set(headerIdempotent, "1")
	}
	setIfNotEmpty(h, headerKey, r.Key)
	setIfNotEmpty(h, headerCallerKey, r.CallerKey)
	setIfNotEmpty(h, headerAccount, r.Account)
	setIfNotEmpty(h, headerCaller, r.Caller)
	if r.Weight != 0 {
		h.Set(headerWeight, strconv.FormatFloat(r.Weight, 'g', -1, 64))
	}
}

func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// decode reads the metadata of a hop from its headers. The caller reads the body.
func decode(h http.Header, now time.Time) (*Request, error) {
	r := &Request{
		ID:         h.Get(headerID),
		Service:    h.Get(headerService),
		Server:     h.Get(headerServer),
		Method:     h.Get(headerMethod),
		Path:       h.Get(headerPath),
		Idempotent: h.Get(headerIdempotent) == "1",
		Key:        h.Get(headerKey),
		CallerKey:  h.Get(headerCallerKey),
		Account:    h.Get(headerAccount),
		Caller:     h.Get(headerCaller),
		Header:     http.Header{},
	}
	if r.ID == "" || r.Server == "" || r.Method == "" || !strings.HasPrefix(r.Path, "/") {
		return nil, codes.BadRequest.New("a header of the hop is missing or malformed")
	}
	attempt, err := strconv.Atoi(h.Get(headerAttempt))
	if err != nil {
		return nil, codes.BadRequest.Wrap(err, "attempt")
	}
	r.Attempt = attempt
	if r.ServerIncarnation, err = strconv.ParseUint(h.Get(headerIncarnation), 10, 64); err != nil {
		return nil, codes.BadRequest.Wrap(err, "incarnation")
	}
	deadline, err := strconv.ParseInt(h.Get(headerDeadline), 10, 64)
	if err != nil {
		return nil, codes.BadRequest.Wrap(err, "deadline")
	}
	if deadline > maxHopDeadline.Microseconds() || deadline < -maxHopDeadline.Microseconds() {
		return nil, codes.BadRequest.New("a deadline of %d us is out of range", deadline)
	}
	r.Deadline = now.Add(time.Duration(deadline) * time.Microsecond)
	if weight := h.Get(headerWeight); weight != "" {
		if r.Weight, err = strconv.ParseFloat(weight, 64); err != nil {
			return nil, codes.BadRequest.Wrap(err, "weight")
		}
		if !(r.Weight > 0 && r.Weight <= math.MaxFloat32) {
			return nil, codes.BadRequest.New("a weight of %g is out of range", r.Weight)
		}
	}
	CopyEndToEnd(r.Header, h)
	return r, nil
}
