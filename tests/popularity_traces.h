// Random numbers for the popularity tests. They are computed from the engine's bits, because the results of
// the distributions of the standard library differ between implementations.
#pragma once

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace myrtleloft::testing {

inline double uniform(std::mt19937_64& random) { return static_cast<double>(random() >> 11) * 0x1p-53; }

// Zipf distribution over 0 to n - 1; 0 is the most likely.
class Zipf {
 public:
  Zipf(int n, double exponent) {
    double sum = 0;
    for (int i = 1; i <= n; ++i) sums_.push_back(sum += std::pow(i, -exponent));
  }
  double likelihood(std::size_t i) const { return (sums_[i] - (i > 0 ? sums_[i - 1] : 0)) / sums_.back(); }
  int sample(std::mt19937_64& random) const {
    const double position = uniform(random) * sums_.back();
    return static_cast<int>(std::upper_bound(sums_.begin(), sums_.end(), position) - sums_.begin());
  }

 private:
  std::vector<double> sums_;
};

}  // namespace myrtleloft::testing
