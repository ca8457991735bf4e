#include "state/portable_math.h"

#include <cmath>
#include <limits>

namespace myrtleloft::portable {
namespace {

constexpr double kLog2OfE = 0x1.71547652b82fep+0;
constexpr double kLn2 = 0x1.62e42fefa39efp-1;
// kLn2 in two parts: the first has so many trailing zeros that its product with an exponent is exact.
constexpr double kLn2High = 0x1.62e42feep-1;
constexpr double kLn2Low = 0x1.a39ef35793c76p-33;
// Beyond these the result is infinite or zero.
constexpr double kMaxExponentOf2 = 1024;
constexpr double kMinExponentOf2 = -1080;
// Up to this absolute value the series of expm1 converges within kExpTerms.
constexpr double kMaxSeriesArgument = 0.35;
constexpr int kExpTerms = 14;
constexpr int kLogTerms = 12;

// Returns (e^small - 1) / small, by its Taylor series.
double expSeries(double small) {
  double sum = 1;
  for (int term = kExpTerms; term >= 2; --term) sum = 1 + sum * small / term;
  return sum;
}

double scaled(double remainder, double exponentOf2) {
  return std::ldexp(1 + remainder * expSeries(remainder), static_cast<int>(exponentOf2));
}

// Returns the result where it is infinite, zero or not a number, otherwise 1.
double limitOf(double exponentOf2) {
  if (std::isnan(exponentOf2)) return exponentOf2;
  if (exponentOf2 >= kMaxExponentOf2) return std::numeric_limits<double>::infinity();
  return exponentOf2 <= kMinExponentOf2 ? 0 : 1;
}

}  // namespace

double exp(double exponent) {
  const double exponentOf2 = exponent * kLog2OfE;
  if (const double limit = limitOf(exponentOf2); limit != 1) return limit;
  const double whole = std::floor(exponentOf2 + 0.5);
  return scaled((exponent - whole * kLn2High) - whole * kLn2Low, whole);
}

double exp2(double exponent) {
  if (const double limit = limitOf(exponent); limit != 1) return limit;
  const double whole = std::floor(exponent + 0.5);
  return scaled((exponent - whole) * kLn2, whole);
}

double expm1(double exponent) {
  if (std::fabs(exponent) < kMaxSeriesArgument) return exponent * expSeries(exponent);
  return portable::exp(exponent) - 1;
}

double log(double value) {
  constexpr double kSqrtHalf = 0x1.6a09e667f3bcdp-1;
  if (value == 0) return -std::numeric_limits<double>::infinity();
  if (!(value > 0) || std::isinf(value)) return value < 0 ? std::numeric_limits<double>::quiet_NaN() : value;
  int exponent = 0;
  double mantissa = std::frexp(value, &exponent);
  if (mantissa < kSqrtHalf) {
    mantissa *= 2;
    --exponent;
  }
  // log m = 2 artanh((m - 1) / (m + 1))
  const double ratio = (mantissa - 1) / (mantissa + 1);
  const double square = ratio * ratio;
  double sum = 0;
  for (int term = kLogTerms; term >= 0; --term) sum = sum * square + 1.0 / (2 * term + 1);
  return exponent * kLn2High + (2 * ratio * sum + exponent * kLn2Low);
}

}  // namespace myrtleloft::portable
