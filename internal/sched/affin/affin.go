// Package affin chooses an upstream for requests that concern the same object, so that they meet at the upstream that
// handled the object recently. It uses rendezvous hashing with bounded load: all processes that see the same upstreams
// agree without exchanging messages, an upstream that joins or leaves moves only its own objects, and the requests of an
// object that is in high demand are spread over several upstreams.
package affin

import "github.com/cespare/xxhash/v2"

// Candidate is an upstream that may run the request.
type Candidate struct {
	// Hash is the Hash of the instance's name.
	Hash uint64
	// Load is the load in requests per slot. Slowness and failures count as additional load.
	Load float64
}

// Policy bounds the load of the upstream that is chosen. It is immutable.
type Policy struct {
	// Factor is the multiple of the mean load, Headroom the load above it, in requests per slot, up to which an upstream is
	// chosen for its objects.
	Factor, Headroom float64
}

// DefaultPolicy returns the default bound. A request takes half as long at an upstream that handled its object recently.
// With load L there and the mean m elsewhere it takes (1+L)/2 against 1+m of an idle upstream's time, so that it gains up
// to L = 1+2m. The bound stays below that, with a margin for load reports, which may be old, and for the upstream's other
// requests, which a higher load delays.
func DefaultPolicy() Policy { return Policy{Factor: 1.25, Headroom: 0.5} }

// Limit returns the load up to which an upstream is chosen if the mean load of the service is mean.
func (p Policy) Limit(mean float64) float64 { return p.Factor*mean + p.Headroom }

// Choice is the result of Policy.Choose.
type Choice struct {
	// Index is the index of the chosen candidate; -1 if the load of every candidate exceeds the limit.
	Index int
	// First says that the candidate is the object's first one, whatever the load.
	First bool
}

// Choose returns the first candidate in the order of the object whose load is within the limit. The order depends only on
// the object and the names of the instances.
func (p Policy) Choose(object string, candidates []Candidate, mean float64) Choice {
	limit, key := p.Limit(mean), Hash(object)
	first, chosen := -1, -1
	var firstWeight, chosenWeight uint64
	for i, c := range candidates {
		w := weight(key, c.Hash)
		if first < 0 || w > firstWeight {
			first, firstWeight = i, w
		}
		if c.Load <= limit && (chosen < 0 || w > chosenWeight) {
			chosen, chosenWeight = i, w
		}
	}
	return Choice{Index: chosen, First: chosen >= 0 && chosen == first}
}

// Hash returns the hash of the name of an object or an instance.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// weight returns the weight of an instance for an object, both given by their hashes. The instance with the highest weight
// is the object's first one. The finalizer of MurmurHash3 mixes the bits, so that a service of thousands of upstreams needs
// no hash of a text for each of them.
func weight(object, instance uint64) uint64 {
	w := object ^ instance
	w = (w ^ w>>33) * 0xff51afd7ed558ccd
	w = (w ^ w>>33) * 0xc4ceb9fe1a85ec53
	return w ^ w>>33
}
