package framer_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/connection/framer"
)

func TestFramesArriveAsWritten(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	w := framer.NewWriter(&b)
	is.NoErr(w.Message(framer.KindFree, &framer.Free{Service: "s", Free: -3}))
	is.NoErr(w.Bytes(framer.KindChunk, bytes.Repeat([]byte("x"), 100000)))
	is.NoErr(w.Bytes(framer.KindChunk, nil))
	is.True(errors.Is(w.Bytes(framer.KindChunk, make([]byte, framer.MaxFrameBytes+1)), framer.ErrTooLong))
	r := framer.NewReader(&b)
	f, err := r.Read()
	is.NoErr(err)
	var m framer.Free
	is.NoErr(f.Decode(&m))
	is.Equal(m.Free, int32(-3))
	f, err = r.Read()
	is.NoErr(err)
	is.Equal(len(f.Body), 100000)
	f, err = r.Read()
	is.NoErr(err)
	is.Equal(len(f.Body), 0)
	_, err = r.Read()
	is.Equal(err, io.EOF)
}

// FuzzRead reads arbitrary bytes as frames and decodes each as several message types.
func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	w := framer.NewWriter(&b)
	_ = w.Message(framer.KindHello, &framer.Hello{Version: 1, From: &framer.Member{Name: "x"}})
	_ = w.Message(framer.KindRequest, &framer.Request{Id: "1", Headers: []*framer.Header{{Name: "A", Values: []string{"b"}}}})
	f.Add(b.Bytes())
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{1, 0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := framer.NewReader(bytes.NewReader(data))
		for {
			fr, err := r.Read()
			if err != nil {
				return
			}
			if len(fr.Body) > len(data) {
				t.Fatal("frame is longer than the input")
			}
			for _, m := range []proto.Message{&framer.Hello{}, &framer.Heartbeat{}, &framer.Request{}, &framer.Objects{}, &framer.End{}} {
				_ = fr.Decode(m)
			}
		}
	})
}

// BenchmarkHeartbeat measures the encoding and the size of heartbeats by the number of
// pools, each with requests from three origins.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{0, 2, 5, 10} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := &framer.Heartbeat{Sequence: 100000, Settings: 4000, Plan: 90000, Revision: 5000000, InFlight: 40}
			for i := range n {
				l := &framer.Load{Service: 3, Site: 40, Slots: 48, Busy: 30, Peak: 41}
				for o := range 3 {
					l.Works = append(l.Works, &framer.Work{Origin: uint32(38 + o), SlotMillis: uint64(9000 + i)})
				}
				m.Loads = append(m.Loads, l)
			}
			var buffer bytes.Buffer
			w := framer.NewWriter(&buffer)
			for b.Loop() {
				buffer.Reset()
				if err := w.Message(framer.KindHeartbeat, m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(buffer.Len()), "bytes")
		})
	}
}
