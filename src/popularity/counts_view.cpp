#include "popularity/counts_view.h"

#include <algorithm>
#include <tuple>

namespace myrtleloft {
namespace {

// A total order of the registers that occur: decoding rejects numbers that are not finite.
auto contentOf(const CountsRegister& update) {
  return std::tie(update.version, update.asOfWallMs, update.counts, update.cached);
}

}  // namespace

bool CountsView::merge(const CountsRegister& update) {
  const auto [found, inserted] = registers_.try_emplace(keyOf(update), update);
  if (!inserted) {
    if (!(contentOf(found->second) < contentOf(update))) return false;
    found->second = update;
  }
  if (registers_.size() <= kMaxRegisters) return true;
  const Key key = found->first;
  enforceLimit();
  return registers_.count(key) > 0;
}

void CountsView::merge(const CountsView& other) {
  for (const auto& [key, update] : other.registers_) merge(update);
}

void CountsView::enforceLimit() {
  while (registers_.size() > kMaxRegisters)
    registers_.erase(std::min_element(registers_.begin(), registers_.end(), [](const auto& a, const auto& b) {
      return std::tie(a.second.asOfWallMs, a.first) < std::tie(b.second.asOfWallMs, b.first);
    }));
}

void CountsView::removeExpired(double wallMs, double tauMs) {
  std::erase_if(registers_,
                [&](const auto& r) { return wallMs - r.second.asOfWallMs > kMaxAgeTaus * tauMs; });
}

bool operator==(const CountsView& a, const CountsView& b) {
  return std::equal(a.registers_.begin(), a.registers_.end(), b.registers_.begin(), b.registers_.end(),
                    [](const auto& x, const auto& y) {
                      return x.first == y.first && contentOf(x.second) == contentOf(y.second);
                    });
}

}  // namespace myrtleloft
