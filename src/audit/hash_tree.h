// Tree of the hashes of all cases: the root covers branches, a branch covers kFanOut cases, a case covers its
// steps. Cases are added in order. Two relays compare the root over the complete branches, so they need not
// have run the same number of cases. 16 bytes per case.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "audit/hash.h"

namespace myrtleloft {

inline constexpr std::size_t kFanOut = 16;

class HashTree {
 public:
  explicit HashTree(std::size_t cases) : cases_(cases) { leaves_.reserve(cases); }

  void add(const Hash& leaf) { leaves_.push_back(leaf); }  // requires played() < cases()
  std::size_t cases() const { return cases_; }
  std::size_t played() const { return leaves_.size(); }
  bool complete() const { return played() == cases_; }
  // Number of branches whose cases have all been run; the last branch may have fewer cases.
  std::size_t branches() const { return complete() ? allBranches() : played() / kFanOut; }
  std::size_t allBranches() const { return (cases_ + kFanOut - 1) / kFanOut; }

  const Hash& leaf(std::size_t number) const { return leaves_[number]; }
  std::vector<Hash> leavesOf(std::size_t branch) const {
    const auto from = leaves_.begin() + static_cast<std::ptrdiff_t>(branch * kFanOut);
    return {from, std::min(leaves_.end(), from + static_cast<std::ptrdiff_t>(kFanOut))};
  }
  // Hashes of the first `n` branches; requires n <= branches().
  std::vector<Hash> firstBranches(std::size_t n) const {
    std::vector<Hash> all;
    for (std::size_t i = 0; i < n; ++i) all.push_back(hashOf(leavesOf(i)));
    return all;
  }
  Hash root(std::size_t n) const { return hashOf(firstBranches(n)); }

 private:
  std::size_t cases_;
  std::vector<Hash> leaves_;
};

}  // namespace myrtleloft
