package standin

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/config"
)

// TokenBytes is the size of every generated token in bytes, so that an offset determines the next token.
const TokenBytes = 4

// Token returns the i-th token that every engine generates for an input.
func Token(input []byte, i int) string {
	h := xxhash.Sum64(input) + uint64(i)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return fmt.Sprintf("%03x ", h&0xfff)
}

// TokenCount returns the number of tokens in an input's full answer, between half of the limit and all of it.
func TokenCount(input []byte, limit int) int {
	part := 0.5 + 0.5*float64(xxhash.Sum64(input)%1000)/1000
	return max(1, int(part*float64(limit)))
}

// GeneratedOutput returns the full answer of a generate stage.
func GeneratedOutput(input []byte, limit int) []byte {
	var b strings.Builder
	for i := range TokenCount(input, limit) {
		b.WriteString(Token(input, i))
	}
	return []byte(b.String())
}

// ServiceOutput returns the answer of any other stage: the input and a line with a hash of the kind and input.
func ServiceOutput(kind string, input []byte) []byte {
	line := fmt.Sprintf("\n%s=%016x", kind, xxhash.Sum64(append([]byte(kind+":"), input...)))
	return append(bytes.Clone(input), line...)
}

// ExpectedOutput returns the correct answer of a pipeline for an input, computed without running the system.
func ExpectedOutput(p *config.Pipeline, input []byte, maxTokens int) []byte {
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
