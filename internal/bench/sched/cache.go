package sched

import (
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache models an engine's prefix cache by the number of tokens cached for each program. It evicts the least recently
// used program first.
type cache struct {
	limit, used int64
	programs    *lru.LRU[string, int64]
}

func newCache(limit int64) *cache {
	l, err := lru.NewLRU[string, int64](1<<20, nil)
	if err != nil {
		panic(err)
	}
	return &cache{limit: limit, programs: l}
}

// use returns the number of prompt tokens that are not cached, and caches them.
func (c *cache) use(program string, prompt int64) int64 {
	cached := c.tokens(program)
	uncached := max(0, prompt-cached)
	c.set(program, max(cached, prompt))
	return uncached
}

func (c *cache) grow(program string, n int64) { c.set(program, c.tokens(program)+n) }

func (c *cache) tokens(program string) int64 {
	n, _ := c.programs.Get(program)
	return n
}

func (c *cache) set(program string, n int64) {
	c.used += n - c.tokens(program)
	c.programs.Add(program, n)
	for c.used > c.limit && c.programs.Len() > 1 {
		_, old, _ := c.programs.RemoveOldest()
		c.used -= old
	}
}

func (c *cache) drop(program string) {
	c.used -= c.tokens(program)
	c.programs.Remove(program)
}
