package idempotency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tableCase is a table with one key under test and a clock that advances only when a step moves it.
type tableCase struct {
	*Table
	now Instant
	key Key
}

func newTableCase(keys int) *tableCase {
	now := NewClock().Now()
	bounds := Bounds{Keys: keys, AnswerBytes: 5000, Lifetime: 10 * time.Minute, Margin: DefaultMargin}
	return &tableCase{Table: NewTable(bounds), now: now, key: newKey(now.Wall, 1)}
}

func (c *tableCase) claim(a byte) Verdict {
	verdict, _ := c.Claim(c.now, c.key, Attempt{a}, time.Second, true)
	return verdict
}

func (c *tableCase) settle(a byte, outcome Outcome) {
	c.Settle(c.now, c.key, Attempt{a}, outcome, &Answer{Status: 200, Body: make([]byte, 3000)})
}

// Guards against a late, duplicated or reordered message that frees or takes a key that another attempt
// holds, and against a key that becomes free again.
func TestTableUnderLateMessages(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(c *tableCase)
		want  Verdict // of a claim by attempt 9
	}{
		{"new", func(*tableCase) {}, Granted},
		{"held", func(c *tableCase) { c.claim(1) }, InProgress},
		{"claim of the holder repeated", func(c *tableCase) { c.claim(1); c.claim(1) }, InProgress},
		{"held past the deadline", func(c *tableCase) { c.claim(1); c.now.Mono += 2 * time.Second }, Closed},
		{"done", func(c *tableCase) { c.claim(1); c.settle(1, OutcomeDone) }, Done},
		{"unknown", func(c *tableCase) { c.claim(1); c.settle(1, OutcomeUnknown) }, Closed},
		{"not run", func(c *tableCase) { c.claim(1); c.settle(1, OutcomeNotRun) }, Granted},
		{"settled before its claim arrives", func(c *tableCase) { c.settle(1, OutcomeNotRun); c.claim(1) }, Granted},
		{"late claim of a settled attempt", func(c *tableCase) { c.claim(1); c.settle(1, OutcomeNotRun); c.claim(1) }, Granted},
		{"late not-run of an older attempt", func(c *tableCase) {
			c.claim(1)
			c.settle(1, OutcomeNotRun)
			c.claim(2)
			c.settle(1, OutcomeNotRun)
		}, InProgress},
		{"late unknown of an older attempt", func(c *tableCase) {
			c.claim(1)
			c.settle(1, OutcomeNotRun)
			c.claim(2)
			c.settle(1, OutcomeUnknown)
		}, InProgress},
		{"not-run of an attempt without a claim", func(c *tableCase) { c.claim(1); c.settle(3, OutcomeNotRun) }, InProgress},
		{"not-run after done", func(c *tableCase) { c.claim(1); c.settle(1, OutcomeDone); c.settle(1, OutcomeNotRun) }, Done},
		{"not-run after unknown", func(c *tableCase) { c.claim(1); c.settle(1, OutcomeUnknown); c.settle(1, OutcomeNotRun) }, Closed},
		{"done after unknown", func(c *tableCase) { c.claim(1); c.settle(1, OutcomeUnknown); c.settle(1, OutcomeDone) }, Done},
		{"expired", func(c *tableCase) { c.claim(1); c.now.Wall = c.now.Wall.Add(11 * time.Minute) }, Expired},
		{"deleted, and the clock steps back", func(c *tableCase) {
			c.claim(1)
			c.settle(1, OutcomeDone)
			c.Expire(Instant{Mono: c.now.Mono, Wall: c.now.Wall.Add(11 * time.Minute)})
		}, Expired},
		{"future", func(c *tableCase) { c.now.Wall = c.now.Wall.Add(-3 * time.Second) }, Future},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTableCase(10)
			test.steps(c)
			assert.Equal(t, c.claim(9), test.want)
		})
	}
}

// Guards against a table that grows beyond its bounds, or deletes a key within its lifetime to make
// room.
func TestTableIsBounded(t *testing.T) {
	c := newTableCase(2)
	first := c.key
	assert.Equal(t, c.claim(1), Granted)
	c.settle(1, OutcomeDone)
	c.key = newKey(c.now.Wall, 2)
	assert.Equal(t, c.claim(1), Granted)
	c.settle(1, OutcomeDone)
	assert.Equal(t, c.claim(9), AlreadyRun) // 5000 bytes hold one answer of 3000
	c.key = newKey(c.now.Wall, 3)
	assert.Equal(t, c.claim(1), Full)
	c.settle(1, OutcomeNotRun)
	assert.Equal(t, c.Len(), 2)
	c.key = first
	assert.Equal(t, c.claim(9), Done)
	c.now.Wall = c.now.Wall.Add(11 * time.Minute)
	c.Expire(c.now)
	assert.Equal(t, c.Len(), 0)
	assert.Equal(t, c.answerBytes.Load(), int64(0))
	c.key = newKey(c.now.Wall, 4)
	assert.Equal(t, c.claim(1), Granted)
}

// Guards against a hand-over that loses, frees or duplicates a key, in whatever order its chunks and
// the settlements arrive.
func TestHandOverMergesTables(t *testing.T) {
	from, to := newTableCase(5000), newTableCase(5000)
	to.now = from.now
	keys := make([]Key, 1500)
	for i := range keys {
		keys[i] = newKey(from.now.Wall, uint64(100+i))
		from.key = keys[i]
		assert.Equal(t, from.claim(1), Granted)
		switch i % 4 {
		case 1:
			from.settle(1, OutcomeNotRun)
		case 2:
			from.settle(1, OutcomeUnknown)
		}
	}
	to.key = keys[0] // its settlement reaches the new owner first
	to.settle(1, OutcomeNotRun)
	chunks := from.export(from.now, func(Key) bool { return true })
	assert.Assert(t, len(chunks) > 1 && chunks[len(chunks)-1].Last)
	for range 2 {
		for _, chunk := range chunks {
			assert.Assert(t, len(chunk.Items) <= chunkKeys)
			assert.Assert(t, to.importChunk(to.now, chunk))
		}
	}
	assert.Equal(t, to.Len(), len(keys))
	for i, key := range keys {
		to.key = key
		want := []Verdict{InProgress, Granted, Closed, InProgress}[i%4]
		if i == 0 {
			want = Granted
		}
		assert.Equal(t, to.claim(9), want, i)
	}
	assert.Assert(t, !newTableCase(10).importChunk(to.now, chunks[0])) // no room: the hand-over is not complete
}
