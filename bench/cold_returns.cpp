// How often drawn returns of cold receivers are overrun, by fleet size: docs/bench/cold-returns.md.
//     cold_returns [FIRST SEED] [DAYS of 2 forwarders; larger fleets have fewer] [until-return]
// until-return: what is shut states as Retry-After how long it stays so.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "lab/cold_fleet.h"

using myrtleloft::lab::ColdFleet;
using myrtleloft::lab::ColdVerdict;
using myrtleloft::lab::ShutWait;

int main(int argc, char** argv) {
  const std::uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const double days = argc > 2 ? std::atof(argv[2]) : 400;
  const bool untilReturn = argc > 3 && std::string_view(argv[3]) == "until-return";
  const ShutWait shutWait = untilReturn ? ShutWait::kUntilReturn : ShutWait::kShort;
  std::puts("| forwarders | days | fell | by those told | down | silent | shut | errors | delivered |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const auto& [forwarders, share] : {std::pair{2, 1.0}, {8, 1.0}, {20, 0.75}, {30, 0.75}, {300, 0.25}}) {
    int fell = 0, broken = 0, handedIn = 0, delivered = 0;
    std::array<int, 4> byOutage{};
    const auto played = static_cast<std::uint64_t>(days * share);
    for (std::uint64_t seed = first; seed < first + played; ++seed) {
      const ColdVerdict day = ColdFleet(forwarders, seed, shutWait).run();
      fell += day.fell, broken += day.broken;
      handedIn += day.handedIn, delivered += day.delivered;
      byOutage[static_cast<std::size_t>(day.outage)] += day.broken;
      if (day.broken)
        std::fprintf(stderr, "fleet of %d, seed %llu: %s\n", forwarders,
                     static_cast<unsigned long long>(seed), day.fall.c_str());
    }
    std::printf("| %d | %llu | %d | %d | %d | %d | %d | %d | %d of %d (%.4f) |\n", forwarders,
                static_cast<unsigned long long>(played), fell, broken, byOutage[0], byOutage[1], byOutage[2],
                byOutage[3], delivered, handedIn, static_cast<double>(delivered) / handedIn);
    std::fflush(stdout);
  }
}
