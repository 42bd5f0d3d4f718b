package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against fields that are lost or mixed up on the way.
func TestMessagesArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := rapid.StringN(0, 20, 40).Draw(t, "account")
		ask := Ask{
			Waiting: rapid.IntRange(0, 255).Draw(t, "waiting"), Demand: float64(rapid.IntRange(0, 65535).Draw(t, "demand")) / demandScale,
			Told: rapid.IntRange(0, 65535).Draw(t, "told"), Book: rapid.Bool().Draw(t, "book"),
		}
		if name, got, _, ok := DecodeCall(ask.Encode(account)); !ok || name != account || got == nil || *got != ask {
			t.Fatalf("sent %+v of %q, got %+v of %q", ask, account, got, name)
		}
		back := Return{Credits: rapid.IntRange(0, 65535).Draw(t, "credits"), Slot: rapid.Uint32().Draw(t, "slot")}
		if name, _, got, ok := DecodeCall(back.Encode(account)); !ok || name != account || got == nil || *got != back {
			t.Fatalf("sent %+v of %q, got %+v of %q", back, account, got, name)
		}
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 65535).Draw(t, name)) * time.Millisecond
		}
		reply := Reply{
			Home: rapid.Bool().Draw(t, "home"), Granted: rapid.IntRange(0, 65535).Draw(t, "granted"), Slot: back.Slot,
			Again: ms("again"), First: ms("first"), Interval: ms("interval"), Booked: rapid.IntRange(0, 65535).Draw(t, "booked"),
		}
		if got, ok := DecodeReply(reply.Encode()); !ok || got != reply {
			t.Fatalf("sent %+v, got %+v", reply, got)
		}
	})
}

// Datagrams from anywhere must not crash the node.
func FuzzMessages(f *testing.F) {
	f.Add(Ask{Waiting: 1}.Encode("a"))
	f.Add(Return{Credits: 1}.Encode("a"))
	f.Add(Reply{Home: true}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if account, ask, back, ok := DecodeCall(b); ok {
			again := []byte(nil)
			if ask != nil {
				again = ask.Encode(account)
			} else {
				again = back.Encode(account)
			}
			if string(again) != string(b) {
				t.Fatalf("%x decodes and encodes to %x", b, again)
			}
		}
		DecodeReply(b)
	})
}
