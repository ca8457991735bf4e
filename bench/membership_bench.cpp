// What lists of endpoints cost: the kept one's bytes, time to write and to read; discovery's, read in slices;
// the longest hold of the loop.
//
//   TMPDIR=/dev/shm build-bench/membership_bench --benchmark_repetitions=5
//
// docs/bench/membership.md says what the figures came to.
#include <benchmark/benchmark.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <sstream>
#include <string>
#include <vector>

#include "discovery/endpoint_cache.h"
#include "discovery/list_reader.h"
#include "lab/module_site.h"

namespace {

using namespace myrtleloft;
namespace fs = std::filesystem;
using SteadyClock = std::chrono::steady_clock;

struct Site {
  Site() {
    std::string name = (fs::temp_directory_path() / "membership-bench-XXXXXX").string();
    folder = ::mkdtemp(name.data());
  }
  ~Site() { fs::remove_all(folder); }
  EndpointCache::Options options() const { return {folder, 1 << 28, 5, lab::kNames, {}}; }
  std::string folder;
  PosixFiles files;
  Clock clock;
  lab::CountedShare disk;
  std::ostringstream log;
};

EndpointList listOf(std::int64_t size) {
  EndpointList list{41, true, {}};
  for (std::int64_t i = 0; i < size; ++i) {
    EndpointRecord& e = list.endpoints.emplace_back();
    e.info.endpoint = "s-" + std::to_string(10000000 + i);
    e.info.destination = i % 1000;
    e.address =
        parseAddress("10.1." + std::to_string(i / 250 % 250) + '.' + std::to_string(i % 250) + ":3000")
            .value();
  }
  return list;
}

double msSince(SteadyClock::time_point from) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - from).count();
}

// A whole list, in slices: all of them together, and the longest.
void write(benchmark::State& state) {
  EndpointTable set;
  const auto changed = set.apply(listOf(state.range(0)), ListUpdateKind::kSnapshot, 1e12).changedUids;
  double longest = 0;
  std::size_t bytes = 0;
  std::vector<double> slices;
  for (auto _ : state) {
    Site site;
    EndpointCache kept({site.files, site.clock, site.disk, site.log}, site.options());
    kept.markChanged(changed);
    kept.markConfirmed();
    double all = 0;
    while (kept.statistics().commits == 0) {
      const auto from = SteadyClock::now();
      kept.step(set);
      slices.push_back(msSince(from));
      all += slices.back();
      longest = std::max(longest, slices.back());
    }
    bytes = kept.fileBytes();
    state.SetIterationTime(all / 1000);
  }
  std::sort(slices.begin(), slices.end());
  state.counters["longest_slice_ms"] = longest;
  state.counters["median_slice_ms"] = slices[slices.size() / 2];
  state.counters["bytes_per_endpoint"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
}

void read(benchmark::State& state) {
  EndpointTable set;
  Site site;
  EndpointCache kept({site.files, site.clock, site.disk, site.log}, site.options());
  kept.markChanged(set.apply(listOf(state.range(0)), ListUpdateKind::kSnapshot, 1e12).changedUids);
  kept.markConfirmed();
  while (kept.statistics().commits == 0) kept.step(set);
  for (auto _ : state) {
    const CachedList found = readCachedList(site.files, site.folder, &lab::kNames);
    if (!found.usable || found.list.endpoints.size() != static_cast<std::size_t>(state.range(0)))
      std::abort();
  }
}

// Discovery's answer in the watch's slices of 32 KiB: all of them together, and the longest.
void readAnswer(benchmark::State& state) {
  std::string body = R"({"rev":41,"all":true,"targets":[)";
  for (std::int64_t i = 0; i < state.range(0); ++i)
    body += std::string(i ? "," : "") + R"({"uid":"s-)" + std::to_string(10000000 + i) +
            R"(","endpoint":"10.1.0.18:3000","az":"norte","model":"other","pod_group":)" +
            std::to_string(i % 997) + R"(,"state":"active","capacity_hint":1.0,"boot_ms":0})";
  body += "]}";
  std::vector<double> slices;
  for (auto _ : state) {
    ListReader reader(body, lab::kNames);
    double all = 0;
    for (bool done = false; !done;) {
      const auto from = SteadyClock::now();
      done = reader.step(32 * 1024);
      slices.push_back(msSince(from));
      all += slices.back();
    }
    const auto from = SteadyClock::now();
    if (!std::holds_alternative<EndpointList>(reader.take())) std::abort();
    slices.push_back(msSince(from));
    state.SetIterationTime((all + slices.back()) / 1000);
  }
  std::sort(slices.begin(), slices.end());
  state.counters["longest_slice_ms"] = slices.back();
  state.counters["median_slice_ms"] = slices[slices.size() / 2];
  state.counters["mb"] = static_cast<double>(body.size()) / 1e6;
}

// Taking a whole list into the set, all known already: what each whole answer costs the loop.
void take(benchmark::State& state) {
  EndpointTable set;
  const EndpointList list = listOf(state.range(0));
  set.apply(list, ListUpdateKind::kSnapshot, 1e12);
  for (auto _ : state) benchmark::DoNotOptimize(set.apply(list, ListUpdateKind::kSnapshot, 1e12));
}

BENCHMARK(write)->Arg(50)->Arg(50000)->UseManualTime()->Unit(benchmark::kMillisecond);
BENCHMARK(read)->Arg(50)->Arg(50000)->Unit(benchmark::kMillisecond);
BENCHMARK(readAnswer)->Arg(50)->Arg(70000)->UseManualTime()->Unit(benchmark::kMillisecond);
BENCHMARK(take)->Arg(50)->Arg(50000)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
