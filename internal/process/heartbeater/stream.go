package heartbeater

import (
	"bufio"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
)

// WriteChanges writes changes whole, however long they are, each behind its length.
func WriteChanges(w io.Writer, all []Changes) error {
	for _, c := range all {
		r := &Relay{Kind: c.Kind, From: c.From, To: c.To, Changes: c.Body}
		if _, err := protodelim.MarshalTo(w, r); err != nil {
			return eris.Wrap(err, "write changes")
		}
	}
	return nil
}

// ReadChanges reads what WriteChanges wrote, each change of at most so many bytes. What
// ends within a change is an error.
func ReadChanges(r io.Reader, maxBytes int64) (all []Changes, err error) {
	b := bufio.NewReader(r)
	options := protodelim.UnmarshalOptions{MaxSize: maxBytes}
	for {
		var m Relay
		err := options.UnmarshalFrom(b, &m)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "read changes")
		}
		all = append(all, changesOf(&m))
	}
}

func changesOf(m *Relay) Changes {
	return Changes{Kind: m.Kind, From: m.From, To: m.To, Body: m.Changes, Omitted: m.Omitted}
}
