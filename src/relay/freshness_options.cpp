#include "relay/freshness_options.h"

namespace myrtleloft {
namespace {

constexpr double kMsPerSecond = 1e3;

}  // namespace

FreshnessTuning freshnessTuning(const OperatorFile::EndpointListSection& section) {
  FreshnessTuning tuning;
  tuning.rejectsByAge = section.rejectByAge;
  tuning.freshMs = static_cast<double>(section.freshSeconds) * kMsPerSecond;
  tuning.ageingMs = static_cast<double>(section.ageingSeconds) * kMsPerSecond;
  tuning.staleMs = static_cast<double>(section.staleSeconds) * kMsPerSecond;
  for (const OperatorFile::ClassFreshness& entry : section.classes)
    tuning.classes.push_back({entry.className, static_cast<Freshness>(entry.lastAccepted)});
  return tuning;
}

}  // namespace myrtleloft
