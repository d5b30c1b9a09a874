package core

// budget is a token bucket that earns a fraction of a token per first attempt and spends whole ones on
// extra attempts, so that retries and hedges stay a bounded share of the first attempts, however many calls
// fail.
type budget struct {
	earn  float64
	most  float64
	saved float64
}

func newBudget(earn, most float64) budget { return budget{earn: earn, most: most, saved: most} }

func (b *budget) deposit() { b.saved = min(b.saved+b.earn, b.most) }

func (b *budget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
