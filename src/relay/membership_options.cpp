#include "relay/membership_options.h"

#include <algorithm>
#include <random>

namespace myrtleloft {
namespace {

// The list's two files, the one and the one that replaces it, have a tenth of the disk.
constexpr std::size_t kListPerDisk = 10;
// Of the memory, for one answer of discovery, which takes some six times its size while it is read.
constexpr std::size_t kListPerMemory = 48, kMostListBytes = 4 * 1024 * 1024;

}  // namespace

TrustTuning trustTuning(const OperatorFile::Membership& membership) {
  TrustTuning tuning;
  tuning.refuses = membership.refuse;
  tuning.freshMs = static_cast<double>(membership.freshS) * 1e3;
  tuning.ageingMs = static_cast<double>(membership.ageingS) * 1e3;
  tuning.oldMs = static_cast<double>(membership.oldS) * 1e3;
  for (const auto& [name, state] : membership.classes)
    tuning.classes.push_back({name, static_cast<Trust>(state)});
  return tuning;
}

Membership::Options membershipOptions(const Config& config) {
  const OperatorFile::Membership& m = config.operatorFile.membership;
  Membership::Options options;
  options.keeps = m.keep;
  options.kept.folder = config.stateFolder;
  options.kept.mostBytes = config.diskBytes / kListPerDisk;
  options.kept.names = config.names;
  std::random_device random;
  options.kept.salt = std::uint64_t{random()} << 32 | random();
  options.trust = trustTuning(m);
  options.guard.share = m.guardPercent / 100.0;
  options.guard.holdMs = static_cast<double>(m.guardHoldS) * 1e3;
  for (std::size_t i = 0; i < config.classes.size(); ++i)
    options.classes.push_back({config.classes[i], config.settings.classes[i].repeat});
  return options;
}

DiscoveryWatch::Options watchOptions(const Config& config) {
  const OperatorFile::Membership& m = config.operatorFile.membership;
  DiscoveryWatch::Options options;
  options.names = config.names;
  for (const std::string& text : m.directories) options.others.push_back(parseAddress(text).value());
  options.backOff =
      backOffOf(config.settings.balancers, static_cast<double>(m.backOffMs), config.drainGraceMs);
  if (m.mostBackOffMs) {
    options.backOff.mostMs = static_cast<double>(*m.mostBackOffMs);
    options.backOff.firstMs = 0;
  }
  options.seed = config.settings.seed;
  options.mostListBytes = std::min(config.memoryBytes / kListPerMemory, kMostListBytes);
  return options;
}

}  // namespace myrtleloft
