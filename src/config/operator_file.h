// The operator's own file, in TOML: what the platform's configuration knows nothing of. All keys have
// defaults; deploy/example.toml lists them.
//
//   OperatorFile file = parseOperatorFile("[journal]\nslice_kb = 64\n", "relay.toml");
//   parseOperatorFile("[journal]\nslice_kb = 1\n", "relay.toml");
//   // throws ConfigError: "relay.toml:2:12: journal.slice_kb: expected a whole number from 16 to 4096, found
//   1"
//
// Strict: an unknown section or key, a wrong type and a value out of range each name their line and column.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/plan.h"
#include "quota/quota_plan.h"

namespace myrtleloft {

// How safe a record is before anything is promised on it.
enum class Durability {
  kProcess,  // it outlasts the process, but not a loss of power: no sync
  kGroup     // it is on the disk: one fdatasync for all records that wait
};
const char* nameOf(Durability durability);

struct OperatorFile {
  struct Journal {
    std::size_t segmentBytes = 0;         // 0: the planner's choice, a sixteenth of the disk
    std::size_t sliceBytes = 256 * 1024;  // most that one slice of compaction writes
    int freePercent = 25;                 // of the disk; compaction runs while less is free
    Durability durability = Durability::kProcess;
  } journal;
  // Spans in seconds. What the states mean stands in discovery/trust.h, which has the reasons for the
  // defaults.
  struct Membership {
    bool keep = true;    // the list of endpoints, in the state folder
    bool refuse = true;  // classes, while the list is too old for them
    std::int64_t freshS = 2 * 3600, ageingS = 3 * 24 * 3600, oldS = 30 * 24 * 3600;
    std::vector<std::pair<std::string, int>> classes;  // the last state in which each is accepted, 0 to 3
    int guardPercent = 0;                              // 0: off
    std::int64_t guardHoldS = 60;
    std::vector<std::string> directories;  // beside the configuration's, as ADDRESS:PORT
    std::int64_t backOffMs = 100;
    std::optional<std::int64_t> mostBackOffMs;  // not set: by the number of relays, discovery/directories.h
  } membership;
  QuotaPlan quota;  // off where it has no nodes
  FleetPlan fleet;  // off where the file has no such section
  struct Log {
    int format = 0;  // plain, logfmt, json
    int level = 1;   // debug, info, warning, error
    std::int64_t againMs = 1000;
  } log;
};

// Throws ConfigError. `name` goes before each fault; `relay` is the own name, where it is known, which may
// not be among the fleet's peers. An empty file is a good one: all defaults.
OperatorFile parseOperatorFile(std::string_view text, const std::string& name, const std::string& relay = "");
OperatorFile readOperatorFile(const std::string& path, const std::string& relay = "");

}  // namespace myrtleloft
