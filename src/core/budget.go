package core

// budget saves up a fraction of a token per first attempt and spends whole ones on extra attempts,
// so that extra load stays a bounded share of useful load however much fails.
type budget struct {
	earn  float64
	most  float64
	saved float64
}

func newBudget(earn, most float64) budget { return budget{earn: earn, most: most, saved: most} }

func (b *budget) earned() { b.saved = min(b.saved+b.earn, b.most) }

func (b *budget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
