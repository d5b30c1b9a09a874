package intake

// What a process takes without callers, in bytes.
const (
	programMemory = 26 << 20 // of the program itself, outside of the heap
	processMemory = 32 << 20 // with its heap and what is not collected yet
)

// Parts of the memory that the process leaves.
const (
	bodiesPart      = 0.4
	answersPart     = 0.3
	connectionsPart = 0.3
)

// Bounds in parts of a machine's memory.
const (
	minShares = 0.3 // for callers, even if the process itself takes most of the memory
	maxHeap   = 0.7 // of the heap; the rest is for what the collector does not see
	minHeap   = 0.3
)

// Shares divide the memory of a box that its own process does not take among what it holds for callers. All are in bytes.
type Shares struct {
	Bodies      int64 // of requests
	Answers     int64 // that are read whole or that callers read slowly
	Connections int64 // with the heads of requests and what the kernel holds unread
	Heap        int64 // limit of the heap, which holds all but the program and what the kernel holds
}

// SharesOf divides the memory of a box, given in bytes. Without memory nothing is limited.
func SharesOf(memory int64) Shares {
	if memory <= 0 {
		return Shares{}
	}
	all, left := float64(memory), max(float64(memory-processMemory), minShares*float64(memory))
	s := Shares{Bodies: int64(bodiesPart * left), Answers: int64(answersPart * left), Connections: int64(connectionsPart * left)}
	s.Heap = max(int64(minHeap*all), min(int64(maxHeap*all), memory-programMemory-s.Connections/2))
	return s
}
