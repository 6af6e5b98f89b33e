package lister

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Names of the platform's list object and of its prefix.
const (
	Prefix     = "VMs/"
	ObjectName = Prefix + "List"
)

type (
	// VM is a VM as listed by the platform.
	VM struct {
		// Address is the IP address of the VM.
		Address string
		Leaving bool
	}

	// List is the list of all VMs.
	List struct {
		VMs []VM
	}
)

// Decode decodes the body of the list object.
func Decode(body []byte) (List, error) {
	var l List
	return l, eris.Wrap(json.Unmarshal(body, &l), "decode list of VMs")
}

// Leaving returns the set of addresses of the leaving VMs.
func (l List) Leaving() map[string]bool {
	out := map[string]bool{}
	for _, v := range l.VMs {
		if v.Leaving {
			out[v.Address] = true
		}
	}
	return out
}
