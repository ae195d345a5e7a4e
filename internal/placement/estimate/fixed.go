package estimate

import (
	"math/big"
	"math/bits"
)

const (
	// fractionBits is the precision of logarithms, which are to base 2.
	fractionBits = 16
	// one is the logarithm of 2.
	one = int64(1) << fractionBits
	// maxExponent bounds the logarithms of run times in milliseconds; 2^40 ms are
	// 35 years. With that bound the products in Regression fit in 64 bits.
	maxExponent = 40
)

// roots holds 2^(1/2), 2^(1/4), ..., 2^(1/2^fractionBits) in units of 2^-63.
var roots = computeRoots()

func computeRoots() [fractionBits]uint64 {
	var out [fractionBits]uint64
	r := new(big.Int).Lsh(big.NewInt(1), 64)
	for i := range out {
		r.Sqrt(r.Lsh(r, 63))
		out[i] = r.Uint64()
	}
	return out
}

// log2 returns the logarithm of v, which it limits to 1 and 2^maxExponent. Each squaring
// of the normalized value yields one bit of the fraction.
func log2(v int64) int64 {
	v = min(max(v, 1), int64(1)<<maxExponent)
	exponent := bits.Len64(uint64(v)) - 1
	// m is in units of 2^-63, at least 1 and less than 2.
	m := uint64(v) << (63 - exponent)
	result := int64(exponent)
	for range fractionBits {
		m, _ = bits.Mul64(m, m)
		result <<= 1
		if m>>63 == 1 {
			result |= 1
		} else {
			m <<= 1
		}
	}
	return result
}

// exp2 returns the rounded power of 2 with the exponent y, which it limits to 0 and
// maxExponent.
func exp2(y int64) int64 {
	y = min(max(y, 0), maxExponent*one)
	m := uint64(1) << 63
	for i, root := range roots {
		if y>>(fractionBits-1-i)&1 == 1 {
			m, _ = bits.Mul64(m, root)
			m <<= 1
		}
	}
	shift := 62 - y>>fractionBits
	return int64((m>>shift + 1) >> 1)
}
