package forward

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// benchRequest returns a request with the given number of caller headers.
func benchRequest(headers int) *Request {
	header := http.Header{}
	for i := range headers {
		header.Set(fmt.Sprintf("X-Caller-%02d", i), "some value of a header")
	}
	return &Request{
		ID: "01J0000000000000000000000A", Attempt: 1, Service: "service-000", Server: "server-0001-01",
		ServerIncarnation: 1_800_000_000_000_000_000, Method: http.MethodPost, Path: "/bookings/1?x=1",
		Header: header, Account: "account-00001", Weight: 1, Deadline: time.Unix(1002, 0),
	}
}

// BenchmarkEncode measures the encoding of the metadata of one hop, by the number of headers that
// the caller sent.
func BenchmarkEncode(b *testing.B) {
	for _, headers := range []int{4, 12, 36} {
		b.Run(fmt.Sprint(headers), func(b *testing.B) {
			request, now := benchRequest(headers), time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				request.encode(http.Header{}, "token", now)
			}
		})
	}
}

// BenchmarkDecode measures the decoding of the metadata of one hop, by the number of headers that
// the caller sent.
func BenchmarkDecode(b *testing.B) {
	for _, headers := range []int{4, 12, 36} {
		b.Run(fmt.Sprint(headers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			encoded := http.Header{}
			benchRequest(headers).encode(encoded, "token", now)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decode(encoded, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkWriteResponse measures the writing of the response of one hop, by the size of its body.
func BenchmarkWriteResponse(b *testing.B) {
	for _, size := range []int{200, 2_000, 20_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			h := &Handler{}
			body := bytes.Repeat([]byte("x"), size)
			b.ReportAllocs()
			for b.Loop() {
				response := &Response{Status: 200, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
				h.writeReply(httptest.NewRecorder(), "01J0000000000000000000000A", &Reply{Response: response, HasLoad: true})
			}
		})
	}
}
