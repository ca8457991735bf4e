// The operator's file, in TOML, with the settings that are not part of the platform's configuration. All keys
// have defaults; deploy/example.toml lists them.
//
//   OperatorFile file = parseOperatorFile("[journal]\nslice_kb = 64\n", "relay.toml");
//   parseOperatorFile("[journal]\nslice_kb = 1\n", "relay.toml");
//   // throws ConfigError:
//   //   "relay.toml:2:12: journal.slice_kb: expected a whole number from 16 to 4096, found 1"
//
// An unknown section or key, a value of the wrong type and a value out of range each cause a ConfigError with
// file, key, line and column.
//
// Thread-safe: there is no shared state. O(text).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/plan.h"
#include "quota/quota_plan.h"

namespace myrtleloft {

// Which failures a journal record must survive before the relay acts on it, for example by accepting the
// request.
enum class Durability {
  kProcess,  // the end of the process, but not a power loss: records are written but not synced
  kGroup     // a power loss: one fdatasync covers all records that are waiting (group commit)
};
// Returns the name of the level in the operator's file.
const char* nameOf(Durability durability);

struct OperatorFile {
  // [journal]
  struct JournalSection {
    std::size_t segmentBytes = 0;  // 0 if the planner chooses it: a sixteenth of the disk limit
    std::size_t compactionStepBytes = std::size_t{256} * 1024;  // `slice_kb`: the most that a step writes
    int freePercent = 25;  // of the disk limit; compaction runs while less is free
    Durability durability = Durability::kProcess;
  };
  // One key of [membership.classes].
  struct ClassFreshness {
    std::string className;
    int lastAccepted = 0;  // the last state in which the class is accepted: the value of a Freshness
  };
  // [membership]. discovery/freshness.h explains the states and the defaults of their maximum ages.
  struct EndpointListSection {
    bool cache = true;        // `keep`: whether the endpoint list is cached in the state folder
    bool rejectByAge = true;  // `refuse`: whether classes are rejected while the list is too old for them
    std::int64_t freshSeconds = std::int64_t{2} * 3600;        // `fresh_s`
    std::int64_t ageingSeconds = std::int64_t{3} * 24 * 3600;  // `ageing_s`
    std::int64_t staleSeconds = std::int64_t{30} * 24 * 3600;  // `old_s`
    std::vector<ClassFreshness> classes;
    int guardPercent = 0;                  // the removal guard's threshold; 0 disables the guard
    std::int64_t guardHoldSeconds = 60;    // `guard_hold_s`
    std::vector<std::string> directories;  // ADDRESS:PORT of each further discovery directory
    std::int64_t minBackoffMs = 100;       // `back_off_ms`
    std::optional<std::int64_t>
        maxBackoffMs;  // `most_back_off_ms`; if not set, derived from the number of relays
  };
  // [log]
  struct LogSection {
    int format = 0;                        // the value of a LogFormat (log/log.h)
    int level = 1;                         // the value of a LogLevel
    std::int64_t repeatIntervalMs = 1000;  // `again_ms`: the minimum time between logs of a repeated event
  };

  JournalSection journal;
  EndpointListSection endpointList;
  QuotaPlan quota;  // without nodes, there are no quotas
  FleetPlan fleet;  // disabled if the section is missing
  LogSection log;
};

// Parses the file. `fileName` is the prefix of error texts. `relay` is the name of this relay, which must not
// be one of the fleet's peers; if it is empty, this is not checked. An empty file is valid and gives all
// defaults. Throws ConfigError.
OperatorFile parseOperatorFile(std::string_view text, const std::string& fileName,
                               const std::string& relay = "");
// Reads and parses the file at `path`. Throws ConfigError.
OperatorFile readOperatorFile(const std::string& path, const std::string& relay = "");

}  // namespace myrtleloft
