// What reading JSON costs: a list of discovery of 10 MB, and the answer to a bulk call. The relay's own
// reading (src/json/, over nlohmann's events) beside nlohmann's own tree and simdjson's.
//
//   build-bench/json_bench --benchmark_repetitions=3
//
// docs/bench/membership.md says what the figures came to.
#include <benchmark/benchmark.h>
#include <simdjson.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "json/json.h"

namespace {

const std::string& list() {
  static const std::string text = [] {
    std::string t = R"({"rev":41,"all":true,"targets":[)";
    for (int i = 0; t.size() < 10'000'000; ++i)
      t += std::string(i ? "," : "") + R"({"uid":"s-)" + std::to_string(10000000 + i) +
           R"(","endpoint":"10.1.0.18:3000","az":"a","model":"m2","pod_group":)" + std::to_string(i % 997) +
           R"(,"state":"active","capacity_hint":1.0,"boot_ms":0})";
    return t + "]}";
  }();
  return text;
}

const std::string& bulk() {
  static const std::string text = [] {
    std::string t = "[";
    for (int i = 0; i < 10; ++i)
      t += std::string(i ? "," : "") + R"({"id":"9b1f03aa5c7e2d4)" + std::to_string(i) +
           R"(","state":"accepted"})";
    return t + "]";
  }();
  return text;
}

void relay(benchmark::State& state, const std::string& text) {
  for (auto _ : state) {
    std::string error;
    if (!myrtleloft::json::parse(text, error)) std::abort();
  }
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
}
void nlohmannTree(benchmark::State& state, const std::string& text) {
  for (auto _ : state) benchmark::DoNotOptimize(nlohmann::json::parse(text));
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
}
// A parser of its own each time, as the loop would keep none of that size.
void simdjsonTree(benchmark::State& state, const std::string& text) {
  for (auto _ : state) {
    simdjson::dom::parser parser;
    if (parser.parse(text).error()) std::abort();
  }
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
}

BENCHMARK_CAPTURE(relay, list, list())->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(nlohmannTree, list, list())->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(simdjsonTree, list, list())->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(relay, bulk, bulk())->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(nlohmannTree, bulk, bulk())->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(simdjsonTree, bulk, bulk())->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
