package main

import (
	"encoding/binary"
	"math/bits"
)

const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
	prime3 uint64 = 1609587929392839161
	prime4 uint64 = 9650029242287828579
	prime5 uint64 = 2870177450012600261
)

func xxround(acc, v uint64) uint64 {
	acc += v * prime2
	return bits.RotateLeft64(acc, 31) * prime1
}

func xxmerge(acc, v uint64) uint64 {
	acc ^= xxround(0, v)
	return acc*prime1 + prime4
}

// xxhash64 is the hash by which programs are distributed over the partitions.
func xxhash64(b []byte) uint64 {
	n := uint64(len(b))
	var h uint64
	if len(b) >= 32 {
		v1, v2, v3, v4 := prime1, prime2, uint64(0), uint64(0)
		v1 += prime2
		v4 -= prime1
		for ; len(b) >= 32; b = b[32:] {
			v1 = xxround(v1, binary.LittleEndian.Uint64(b))
			v2 = xxround(v2, binary.LittleEndian.Uint64(b[8:]))
			v3 = xxround(v3, binary.LittleEndian.Uint64(b[16:]))
			v4 = xxround(v4, binary.LittleEndian.Uint64(b[24:]))
		}
		h = bits.RotateLeft64(v1, 1) + bits.RotateLeft64(v2, 7) + bits.RotateLeft64(v3, 12) + bits.RotateLeft64(v4, 18)
		h = xxmerge(xxmerge(xxmerge(xxmerge(h, v1), v2), v3), v4)
	} else {
		h = prime5
	}
	h += n
	for ; len(b) >= 8; b = b[8:] {
		h ^= xxround(0, binary.LittleEndian.Uint64(b))
		h = bits.RotateLeft64(h, 27)*prime1 + prime4
	}
	if len(b) >= 4 {
		h ^= uint64(binary.LittleEndian.Uint32(b)) * prime1
		h = bits.RotateLeft64(h, 23)*prime2 + prime3
		b = b[4:]
	}
	for _, c := range b {
		h ^= uint64(c) * prime5
		h = bits.RotateLeft64(h, 11) * prime1
	}
	h ^= h >> 33
	h *= prime2
	h ^= h >> 29
	h *= prime3
	return h ^ h>>32
}
