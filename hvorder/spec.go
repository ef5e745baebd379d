package hvorder

import "github.com/cespare/xxhash/v2"

// MethodSpec returns the work description of a job. Nodes call it at the gate that
// accepted the job, and at the owner if that gate does not have it: the owner's link
// would otherwise carry the description once for each task.
const MethodSpec = "spec"

// SpecRequest asks for the work description of a job.
type SpecRequest struct {
	Job string `json:"job"`
}

// Spec is the response to SpecRequest.
type Spec struct {
	Text string `json:"spec"`
}

// SpecRef says where a node finds the work description of a job.
type SpecRef struct {
	// Addr is the address of the gate that accepted the job.
	Addr string `json:"at"`
	// Checksum is that of the description; a text with another one is not that of
	// the stored job.
	Checksum uint64 `json:"sum,string"`
}

// SpecChecksum returns the checksum of a work description.
func SpecChecksum(text string) uint64 { return xxhash.Sum64String(text) }
