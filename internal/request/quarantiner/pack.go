package quarantiner

import (
	"math"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Pack encodes suspects, in about 30 bytes each.
func Pack(list []Suspect) []byte {
	m := &SuspectList{}
	for _, s := range list {
		m.Fingerprints = append(m.Fingerprints, s.Fingerprint[:])
		m.Clearings = append(m.Clearings, s.Clearings)
		m.Crashes = append(m.Crashes, s.Crashes)
		m.AgeMillis = append(m.AgeMillis, uint32(min(max(s.Age, 0), math.MaxUint32)))
	}
	body, err := proto.Marshal(m)
	if err != nil {
		panic(err) // marshalling cannot fail: the message has no strings to validate
	}
	return body
}

// Unpack decodes the result of Pack. It skips suspects that are incomplete.
func Unpack(body []byte) (list []Suspect, err error) {
	var m SuspectList
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrap(err, "decode suspects")
	}
	for n := range min(len(m.Fingerprints), len(m.Clearings), len(m.Crashes), len(m.AgeMillis)) {
		s := Suspect{Clearings: m.Clearings[n], Crashes: m.Crashes[n], Age: timekeeper.Millis(m.AgeMillis[n])}
		if len(m.Fingerprints[n]) != len(s.Fingerprint) {
			continue
		}
		s.Fingerprint = Fingerprint(m.Fingerprints[n])
		list = append(list, s)
	}
	return list, nil
}
