#include "popularity/counts_view.h"

#include <algorithm>
#include <tuple>

namespace myrtleloft {
namespace {

// Total for what any register holds: numbers are checked to be finite where they come in.
auto order(const CountsRegister& r) { return std::tie(r.version, r.asOfWallMs, r.counts, r.warm); }

}  // namespace

bool CountsView::merge(const CountsRegister& said) {
  const auto [at, fresh] = registers_.try_emplace(keyOf(said), said);
  if (!fresh) {
    if (!(order(at->second) < order(said))) return false;
    at->second = said;
  }
  if (registers_.size() <= kMostRegisters) return true;
  const Key key = at->first;
  bound();
  return registers_.count(key) > 0;
}

void CountsView::merge(const CountsView& other) {
  for (const auto& [key, said] : other.registers_) merge(said);
}

void CountsView::bound() {
  while (registers_.size() > kMostRegisters)
    registers_.erase(std::min_element(registers_.begin(), registers_.end(), [](const auto& a, const auto& b) {
      return std::tie(a.second.asOfWallMs, a.first) < std::tie(b.second.asOfWallMs, b.first);
    }));
}

void CountsView::forget(double wallMs, double tauMs) {
  std::erase_if(registers_,
                [&](const auto& r) { return wallMs - r.second.asOfWallMs > kForgetTaus * tauMs; });
}

bool operator==(const CountsView& a, const CountsView& b) {
  return std::equal(
      a.registers_.begin(), a.registers_.end(), b.registers_.begin(), b.registers_.end(),
      [](const auto& x, const auto& y) { return x.first == y.first && order(x.second) == order(y.second); });
}

}  // namespace myrtleloft
