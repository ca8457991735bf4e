#include "cli/list_tool.h"

#include <array>
#include <cmath>
#include <utility>

#include "cli/output.h"
#include "discovery/kept_list.h"
#include "myrtleloft/command_line.h"
#include "relay/membership_options.h"

namespace myrtleloft {
namespace {

constexpr std::array<std::pair<const char*, Repeat>, 3> kRules = {
    {{"once", Repeat::kOnce}, {"by_key", Repeat::kByKey}, {"repeatable", Repeat::kRepeatable}}};

Stamp now() {
  const Clock clock;
  return {clock.wallMs(), clock.machineMs(), clock.machineRun()};
}

// What there is to say of the list as a whole.
struct Looked {
  KeptFound found;
  ListAge age;
  Trust trust = Trust::kExpired;
  ListTrust rules;
  int code = kExitGood;

  Looked(const ListTool& tool, std::ostream& err)
      : rules(trustTuning(
            (tool.operatorFile.empty() ? OperatorFile() : readOperatorFile(tool.operatorFile)).membership)) {
    PosixFiles files;
    found = readKept(files, tool.folder, nullptr);
    if (!found.fault.empty()) {
      err << "myrtleloft: the list in " << tool.folder << ": " << found.fault << '\n';
      code = kExitDamaged;
    } else if (!found.there) {
      err << "myrtleloft: there is no kept list in " << tool.folder << '\n';
      code = kExitCannot;
    }
    age = ageOf(found.told, now());
    trust = rules.of(age, found.whole);
  }
  Json summary() const {
    std::size_t draining = 0, missing = 0;
    for (const EndpointEntry& e : found.list.endpoints) {
      draining += e.entry.state == RouteState::kStopping;
      missing += e.missing;
    }
    return {{"rev", found.list.rev},
            {"endpoints", found.list.endpoints.size()},
            {"draining", draining},
            {"left_out", missing},
            {"bytes", found.fileBytes},
            {"age_s", age.known ? Json(std::llround(age.ms / 1000)) : Json("unknown")},
            {"trust", nameOf(trust)},
            {"whole", found.whole}};
  }
};

std::string nameAt(const std::vector<std::string>& names, int index) {
  const auto at = static_cast<std::size_t>(index);
  return at < names.size() ? names[at] : std::to_string(index);
}

}  // namespace

int showList(const ListTool& tool, std::ostream& out, std::ostream& err) {
  const Looked looked(tool, err);
  if (!looked.found.there) return looked.code;
  for (const EndpointEntry& e : looked.found.list.endpoints) {
    const bool drains = e.entry.state == RouteState::kStopping;
    Json json = {{"uid", e.entry.target},
                 {"endpoint", e.address.text},
                 {"destination", e.entry.destination},
                 {"az", nameAt(looked.found.names.zones, e.entry.zone)},
                 {"model", nameAt(looked.found.names.kinds, e.entry.kind)},
                 {"state", drains ? "leaving" : "active"},
                 {"told_ms", e.toldWallMs},
                 {"told_by", e.byChange ? "change" : "list"}};
    if (drains) json["drains_since_ms"] = e.drainsSinceWallMs;
    if (e.missing) json["left_out"] = true;
    out << lineOf(json, tool.json) << '\n';
  }
  out << lineOf(looked.summary(), tool.json) << '\n';
  return looked.code;
}

int checkList(const ListTool& tool, std::ostream& out, std::ostream& err) {
  const Looked looked(tool, err);
  if (!looked.found.there) return looked.code;
  Json json = looked.summary();
  for (const auto& [name, rule] : kRules)
    json[name] = looked.rules.accepts(looked.trust, "", rule) ? "accepted" : "refused";
  for (const TrustTuning::Override& o : looked.rules.tuning().classes)
    json[o.cls] = looked.rules.accepts(looked.trust, o.cls, Repeat::kOnce) ? "accepted" : "refused";
  json["come_back_ms"] = looked.rules.comeBackMs(looked.trust);
  out << lineOf(json, tool.json) << '\n';
  return looked.code;
}

}  // namespace myrtleloft
