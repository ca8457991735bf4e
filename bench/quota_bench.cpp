// What a decision of the quota tree costs: four levels, three windows, messages and worth limited at each.
//
//   build-bench/quota_bench
//
// docs/bench/quotas.md says what the figures came to.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "quota/quota_tree.h"

namespace {

using namespace myrtleloft;

// An institution, 10 faculties, teams, and so many leaves below them. One leaf in a hundred sends.
QuotaShape shapeOf(std::int64_t leaves) {
  QuotaShape shape;
  shape.spansMs = {2000, 60000, 3600000};
  shape.maxActiveWindows = 100000;
  const auto add = [&](int parent) {
    QuotaShape::Node node{"", parent, {}};
    for (std::size_t w = 0; w < 3; ++w) {
      node.limits.push_back({Measure::kMessages, w, 1'000'000'000});
      node.limits.push_back({Measure::kWorth, w, 1'000'000'000'000'000});
    }
    shape.nodes.push_back(std::move(node));
  };
  add(-1);
  for (int i = 0; i < 10; ++i) add(0);
  const int teams = static_cast<int>(std::max<std::int64_t>(1, leaves / 100));
  for (int i = 0; i < teams; ++i) add(1 + i % 10);
  for (std::int64_t i = 0; i < leaves; ++i) add(11 + static_cast<int>(i % teams));
  return shape;
}

void decide(benchmark::State& state) {
  const QuotaShape shape = shapeOf(state.range(0));
  QuotaTree tree(shape);
  const std::size_t first = shape.nodes.size() - static_cast<std::size_t>(state.range(0));
  std::mt19937 random(7);
  std::vector<int> senders;
  for (std::int64_t i = 0; i < state.range(0); i += state.range(0) < 100 ? 1 : 100)
    senders.push_back(static_cast<int>(first) + static_cast<int>(i));
  std::shuffle(senders.begin(), senders.end(), random);
  const Amount one{{1, 2'000'000, 1}};
  double nowMs = 0;
  std::size_t at = 0, refused = 0;
  for (auto _ : state) {
    nowMs += 0.05;  // 20,000 a second
    const int leaf = senders[++at % senders.size()];
    if (tree.rejects(leaf, one, nowMs))
      ++refused;
    else
      tree.charge(leaf, one, nowMs);
  }
  state.counters["windows"] = static_cast<double>(tree.activeWindows());
  state.counters["refused"] = static_cast<double>(refused);
  state.counters["window_bytes"] = QuotaTree::kWindowBytes;
}

BENCHMARK(decide)->Arg(10)->Arg(10'000)->Arg(1'000'000);

}  // namespace

BENCHMARK_MAIN();
