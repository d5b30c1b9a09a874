package standin

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/config"
)

// TokenBytes is the size of every generated token, so that an offset tells which token comes next.
const TokenBytes = 4

// Token is the i-th token that any engine generates for an input.
func Token(input []byte, i int) string {
	h := xxhash.Sum64(input) + uint64(i)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return fmt.Sprintf("%03x ", h&0xfff)
}

// TokenCount is how many tokens an input's whole answer has under a limit: half of it to all.
func TokenCount(input []byte, limit int) int {
	part := 0.5 + 0.5*float64(xxhash.Sum64(input)%1000)/1000
	return max(1, int(part*float64(limit)))
}

// Generated is the whole answer of a generate stage.
func GeneratedOutput(input []byte, limit int) []byte {
	var b strings.Builder
	for i := range TokenCount(input, limit) {
		b.WriteString(Token(input, i))
	}
	return []byte(b.String())
}

// Served is the answer of any other stage: the input with a line that only this input and kind give.
func ServiceOutput(kind string, input []byte) []byte {
	line := fmt.Sprintf("\n%s=%016x", kind, xxhash.Sum64(append([]byte(kind+":"), input...)))
	return append(bytes.Clone(input), line...)
}

// Whole is the answer a caller must get for an input, computed apart from the system.
func Whole(p *config.Pipeline, input []byte, maxTokens int) []byte {
	for _, s := range p.Stages() {
		if s.Kind() != config.Generate {
			input = ServiceOutput(string(s.Kind()), input)
			continue
		}
		limit := s.MaxTokens()
		if maxTokens > 0 && maxTokens < limit {
			limit = maxTokens
		}
		input = GeneratedOutput(input, limit)
	}
	return input
}
