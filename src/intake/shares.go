package intake

// processMemory is what a process takes without callers, in bytes.
const processMemory = 28 << 20

// minShares is the part of a machine's memory that callers get even if the process itself takes most of it.
const minShares = 0.3

// Shares divide the memory of a box that its own process does not take among what it holds for callers.
type Shares struct {
	Bodies      int64 // of requests, bytes
	Answers     int64 // that callers read slowly, bytes
	Connections int64 // with the heads of requests and what the kernel holds unread, bytes
}

// SharesOf divides the memory of a box, given in bytes. Without memory nothing is limited.
func SharesOf(memory int64) Shares {
	if memory <= 0 {
		return Shares{}
	}
	each := max(memory-processMemory, int64(minShares*float64(memory))) / 3
	return Shares{Bodies: each, Answers: each, Connections: each}
}
