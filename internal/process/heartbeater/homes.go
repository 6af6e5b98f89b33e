package heartbeater

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// EncodeHomes encodes homes of keys, in at most 20 bytes each.
func EncodeHomes(list []assigner.Assignment) ([]byte, error) {
	body, err := proto.Marshal(homesOf(list))
	return body, eris.Wrap(err, "encode homes of keys")
}

// DecodeHomes decodes homes of keys encoded by EncodeHomes.
func DecodeHomes(body []byte) ([]assigner.Assignment, error) {
	var m Homes
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrap(err, "decode homes of keys")
	}
	return assignments(&m), nil
}

func homesOf(list []assigner.Assignment) *Homes {
	m := &Homes{}
	for _, a := range list {
		m.Keys = append(m.Keys, uint64(a.Key))
		m.Upstreams = append(m.Upstreams, uint64(a.Upstream))
		m.Versions = append(m.Versions, a.Version)
	}
	return m
}

// assignments returns the homes in a message. If its lists differ in length, the shortest
// counts.
func assignments(m *Homes) []assigner.Assignment {
	n := min(len(m.Keys), len(m.Upstreams), len(m.Versions))
	list := make([]assigner.Assignment, n)
	for i := range list {
		list[i] = assigner.Assignment{
			Key:      hasher.Hash(m.Keys[i]),
			Upstream: hasher.Hash(m.Upstreams[i]),
			Version:  m.Versions[i],
		}
	}
	return list
}
