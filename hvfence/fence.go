// Package hvfence computes the fencing tokens of calls to executors. An executor does
// nothing for a token below the highest one that it has seen, and a new incarnation of it has
// seen none. Tokens rise with the owner of the cell, and under one owner with each incarnation
// of the executor, so that calls for an earlier incarnation that arrive late are refused.
package hvfence

const (
	// epochStep is the distance between the epochs of two owners in a row. The tokens of an
	// owner lie above its epoch minus epochStep, up to its epoch. Builds before this package
	// claim the next number and use the epoch itself as the token, which is above all tokens
	// of the owners before. Run numbers are 1,000 times the epoch: decoders that keep numbers
	// as floating point read those of 500,000 owners exactly.
	epochStep = 1 << 24
	// attachmentStep is the distance between the first tokens of two attachments in a row.
	attachmentStep = 1 << 10
)

// NextEpoch returns the epoch of the owner that comes after one with a given epoch.
func NextEpoch(epoch int64) int64 { return epoch + epochStep }

// First returns the first token for a node that an owner attaches for the nth time, from 1. A
// node that was restarted does not know which tokens it used before; they are lower.
func First(epoch, n int64) int64 { return min(epoch-epochStep+n*attachmentStep, epoch) }

// Token is the fencing token of the calls of a node to its executor. It rises whenever the
// executor may have started again. The zero value is that of a node without an owner.
type Token struct {
	// value is the present token and last the highest one of the owner.
	value, last int64
	// used is the highest token of calls that were meant for life, the incarnation that
	// responded last.
	used int64
	life string
}

// Value returns the token for a call that is the same for every incarnation.
func (t *Token) Value() int64 { return t.value }

// Use returns the token for a call that is meant for the present incarnation.
func (t *Token) Use() int64 {
	t.Used(t.value)
	return t.value
}

// Used records that a call with a token is meant for the present incarnation.
func (t *Token) Used(token int64) { t.used = max(t.used, token) }

// Attach adopts the tokens of an owner, from first on. An owner of an earlier build names no
// first token: all calls then have its epoch.
func (t *Token) Attach(epoch, first int64) {
	if first == 0 {
		first = epoch
	}
	if epoch != t.last {
		*t = Token{value: first, last: epoch, used: first - 1, life: t.life}
		return
	}
	t.value = min(max(t.value, first), t.last)
}

// Doubt records that the executor may have started again: the next call has a token that no
// call for the incarnation before had.
func (t *Token) Doubt() {
	if t.value <= t.used {
		t.value = min(t.used+1, t.last)
	}
}

// Confirm records that an incarnation has responded to a call with a token. It reports
// whether this incarnation refuses all calls for earlier ones from now on. If it does not,
// the token rises, and the next call makes it do so.
func (t *Token) Confirm(life string, token int64) bool {
	if life != t.life && token <= t.used && t.used < t.last {
		t.Doubt()
		return false
	}
	t.life = life
	return true
}

// Life returns the incarnation that responded last, or an empty string.
func (t *Token) Life() string { return t.life }

// Refused records that the executor refused a token, and reports whether it has seen one of
// another owner. If not, the call can be repeated with the present token: that has risen
// meanwhile, or a node of an earlier build has used the last token of this owner.
func (t *Token) Refused(token int64) bool {
	if token >= t.value && t.value == t.last {
		return true
	}
	if token >= t.value {
		t.value = t.last
	}
	return false
}
