// Elementary functions whose results are equal, bit by bit, on all processors with IEEE 754 arithmetic. Those
// of the C library are not: they differ between architectures, and on one architecture between processors
// with and without fused multiply-add. Relays of one fleet have to decide alike on all of them.
//
//   const double weight = portable::exp2(-ageMs / halfLifeMs);
//
// Only exactly defined operations are used (+, -, *, /, floor, frexp, ldexp), and the build switches off
// their contraction. Relative errors are below 1e-14. Thread-safe; O(1), about twenty multiplications.
#pragma once

namespace myrtleloft::portable {

double exp(double exponent);
// Exact for whole exponents.
double exp2(double exponent);
// exp(exponent) - 1, also accurate near 0.
double expm1(double exponent);
// The natural logarithm: minus infinity for 0, not a number below 0.
double log(double value);

}  // namespace myrtleloft::portable
