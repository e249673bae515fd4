package main

import (
	"encoding/binary"
	"math/bits"
)

// partitionOf returns the partition of a key: the gateway uses XXH64 modulo the number of partitions.
func partitionOf(key string) int { return int(xxh64([]byte(key)) % partitions) }

func xxh64(b []byte) uint64 {
	var p1, p2, p3, p4, p5 uint64 = 11400714785074694791, 14029467366897019727, 1609587929392839161, 9650029242287828579,
		2870177450012600261
	round := func(acc, in uint64) uint64 { return bits.RotateLeft64(acc+in*p2, 31) * p1 }
	n := uint64(len(b))
	var h uint64
	if len(b) >= 32 {
		v := [4]uint64{p1 + p2, p2, 0, -p1}
		for len(b) >= 32 {
			for i := range v {
				v[i] = round(v[i], binary.LittleEndian.Uint64(b[8*i:]))
			}
			b = b[32:]
		}
		h = bits.RotateLeft64(v[0], 1) + bits.RotateLeft64(v[1], 7) + bits.RotateLeft64(v[2], 12) + bits.RotateLeft64(v[3], 18)
		for _, x := range v {
			h = (h^round(0, x))*p1 + p4
		}
	} else {
		h = p5
	}
	h += n
	for ; len(b) >= 8; b = b[8:] {
		h = bits.RotateLeft64(h^round(0, binary.LittleEndian.Uint64(b)), 27)*p1 + p4
	}
	if len(b) >= 4 {
		h = bits.RotateLeft64(h^uint64(binary.LittleEndian.Uint32(b))*p1, 23)*p2 + p3
		b = b[4:]
	}
	for _, c := range b {
		h = bits.RotateLeft64(h^uint64(c)*p5, 11) * p1
	}
	h ^= h >> 33
	h *= p2
	h ^= h >> 29
	h *= p3
	return h ^ h>>32
}
