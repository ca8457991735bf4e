#include "lab/processor_wait.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <utility>

namespace myrtleloft::lab {
namespace {

constexpr double kNsInMs = 1e6;

}  // namespace

double ProcessorWait::sinceLastMs(pid_t process) {
  std::ifstream schedstat("/proc/" + std::to_string(process) + "/schedstat");
  std::uint64_t ranNs = 0, waitedNs = 0;
  const bool isKnown = static_cast<bool>(schedstat >> ranNs >> waitedNs);
  const double totalMs = isKnown ? static_cast<double>(waitedNs) / kNsInMs : 0;
  const bool isSame = std::exchange(process_, process) == process;
  const double beforeMs = std::exchange(totalMs_, totalMs);
  return isKnown && isSame ? totalMs - beforeMs : 0;
}

}  // namespace myrtleloft::lab
