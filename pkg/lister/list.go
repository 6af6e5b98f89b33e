package lister

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Prefix and ObjectName are where the platform keeps the list.
const (
	Prefix     = "VMs/"
	ObjectName = Prefix + "List"
)

type (
	// VM is one VM by the platform's account.
	VM struct {
		// Address is its IP number.
		Address string
		Leaving bool
	}

	// List is all VMs.
	List struct {
		VMs []VM
	}
)

// Decode reads the list object.
func Decode(body []byte) (List, error) {
	var l List
	return l, eris.Wrap(json.Unmarshal(body, &l), "list of VMs")
}

// Leaving returns the addresses of the VMs that leave.
func (l List) Leaving() map[string]bool {
	out := map[string]bool{}
	for _, v := range l.VMs {
		if v.Leaving {
			out[v.Address] = true
		}
	}
	return out
}
