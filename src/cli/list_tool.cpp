#include "cli/list_tool.h"

#include <array>
#include <cmath>
#include <utility>

#include "cli/output.h"
#include "discovery/endpoint_cache.h"
#include "myrtleloft/command_line.h"
#include "relay/freshness_options.h"

namespace myrtleloft {
namespace {

// The output keys for classes that the operator's file does not name, by their idempotency.
constexpr std::array<std::pair<const char*, Idempotency>, 3> kIdempotencyKeys = {
    {{"once", Idempotency::kNonIdempotent},
     {"by_key", Idempotency::kIdempotentWithKey},
     {"repeatable", Idempotency::kIdempotent}}};

Stamp now() {
  const Clock clock;
  return {clock.wallMs(), clock.machineMs(), clock.machineRun()};
}

// The cached list, its age, and the exit code for its state. Faults are printed to `err`.
struct ListInspection {
  CachedList cached;
  ListAge age;
  Freshness freshness = Freshness::kExpired;
  FreshnessPolicy policy;
  int exitCode = kExitSuccess;

  ListInspection(const ListToolOptions& options, std::ostream& err)
      : policy(freshnessTuning(
            (options.operatorFile.empty() ? OperatorFile() : readOperatorFile(options.operatorFile))
                .endpointList)) {
    PosixFiles files;
    cached = readCachedList(files, options.folder, nullptr);
    if (cached.fault) {
      err << "myrtleloft: cached endpoint list in " << options.folder << ": " << describe(*cached.fault)
          << '\n';
      exitCode = kExitCorrupt;
    } else if (!cached.usable) {
      err << "myrtleloft: no cached endpoint list in " << options.folder << '\n';
      exitCode = kExitUnavailable;
    }
    age = ageOf(cached.confirmedAt, now());
    freshness = policy.freshnessOf(age, cached.complete);
  }
  Json summary() const {
    std::size_t draining = 0, missing = 0;
    for (const EndpointRecord& endpoint : cached.list.endpoints) {
      draining += endpoint.info.state == EndpointState::kDraining;
      missing += endpoint.missing;
    }
    return {{"rev", cached.list.revision},
            {"endpoints", cached.list.endpoints.size()},
            {"draining", draining},
            {"left_out", missing},
            {"bytes", cached.fileBytes},
            {"age_s", age.known ? Json(std::llround(age.ms / 1000)) : Json("unknown")},
            {"trust", nameOf(freshness)},
            {"whole", cached.complete}};
  }
};

// Returns the name, or the index as text if there is no such name.
std::string nameAt(const std::vector<std::string>& names, int index) {
  const auto at = static_cast<std::size_t>(index);
  return at < names.size() ? names[at] : std::to_string(index);
}

}  // namespace

int showList(const ListToolOptions& options, std::ostream& out, std::ostream& err) {
  const ListInspection inspection(options, err);
  if (!inspection.cached.usable) return inspection.exitCode;
  for (const EndpointRecord& endpoint : inspection.cached.list.endpoints) {
    const bool draining = endpoint.info.state == EndpointState::kDraining;
    Json json = {{"uid", endpoint.info.endpoint},
                 {"endpoint", endpoint.address.text},
                 {"destination", endpoint.info.destination},
                 {"az", nameAt(inspection.cached.names.zones, endpoint.info.zone)},
                 {"model", nameAt(inspection.cached.names.kinds, endpoint.info.kind)},
                 {"state", draining ? "leaving" : "active"},
                 {"told_ms", endpoint.announcedWallMs},
                 {"told_by", endpoint.announcedByDelta ? "change" : "list"}};
    if (draining) json["drains_since_ms"] = endpoint.drainingSinceWallMs;
    if (endpoint.missing) json["left_out"] = true;
    out << lineOf(json, options.json) << '\n';
  }
  out << lineOf(inspection.summary(), options.json) << '\n';
  return inspection.exitCode;
}

int checkList(const ListToolOptions& options, std::ostream& out, std::ostream& err) {
  const ListInspection inspection(options, err);
  if (!inspection.cached.usable) return inspection.exitCode;
  Json json = inspection.summary();
  for (const auto& [key, idempotency] : kIdempotencyKeys)
    json[key] = inspection.policy.accepts(inspection.freshness, "", idempotency) ? "accepted" : "refused";
  for (const FreshnessTuning::Override& entry : inspection.policy.tuning().classes)
    json[entry.className] =
        inspection.policy.accepts(inspection.freshness, entry.className, Idempotency::kNonIdempotent)
            ? "accepted"
            : "refused";
  json["come_back_ms"] = inspection.policy.retryAfterMs(inspection.freshness);
  out << lineOf(json, options.json) << '\n';
  return inspection.exitCode;
}

}  // namespace myrtleloft
