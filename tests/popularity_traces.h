// Drawn by the engine's bits alone: a library's distributions may differ from machine to machine.
#pragma once

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace myrtleloft::testing {

inline double unit(std::mt19937_64& random) { return static_cast<double>(random() >> 11) * 0x1p-53; }

class Zipf {  // 0 the likeliest
 public:
  Zipf(int n, double exponent) {
    double sum = 0;
    for (int i = 1; i <= n; ++i) sums_.push_back(sum += std::pow(i, -exponent));
  }
  double likelihood(std::size_t i) const { return (sums_[i] - (i > 0 ? sums_[i - 1] : 0)) / sums_.back(); }
  int drawn(std::mt19937_64& random) const {
    const double at = unit(random) * sums_.back();
    return static_cast<int>(std::upper_bound(sums_.begin(), sums_.end(), at) - sums_.begin());
  }

 private:
  std::vector<double> sums_;
};

}  // namespace myrtleloft::testing
