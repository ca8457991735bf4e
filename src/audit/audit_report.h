// Results of the consistency check: the verdict on each peer and the reports made when a verdict changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "audit/cases.h"
#include "audit/rules_version.h"

namespace myrtleloft {

enum class AuditVerdict : std::uint8_t {
  kNotKnown,  // no recent report, a different version, cases still running, or a search still in progress
  kAgree,     // all cases of the same version gave equal results, according to a recent report of the peer
  kDiverged   // a step with a different result was found for the same version
};

enum class OlderVersion : std::uint8_t { kNotKnown, kHere, kThere };

struct AuditReport {
  enum class Kind : std::uint8_t {
    kAgree,
    kDiverged,       // sets all fields below up to `difference`
    kOtherVersion,   // the versions have differed for at least two rounds; nothing is compared
    kLateVersion,    // the versions have differed for at least AuditTuning::lateVersionMs
    kNondeterminism  // a replay of a case on this relay gave a different result; `peer` is empty
  };
  Kind kind = Kind::kAgree;
  std::string peer, version;
  std::string family;  // "traffic" for a window of real events
  std::size_t number = 0, step = 0;
  StepDifference difference;
  RulesPart part = RulesPart::kProgram;  // the first part that differs
  double forMs = 0;
  OlderVersion older = OlderVersion::kNotKnown;
};

struct AuditTuning {
  double roundIntervalMs = 30000;
  // A version that differs for longer is reported as late. A rolling update of a fleet takes minutes.
  double lateVersionMs = 600000;
  // How long an agreement counts, from the time of the own report that the peer acknowledged with it.
  double agreementValidMs = 120000;
  double questionTimeoutMs = 5000;  // an unanswered question is repeated after this time
  int maxQuestionAttempts = 3;      // then the search is abandoned until the next digest report
  int questionsPerRound = 8;        // answered per peer; a search takes four
  // With more peers they take turns, and lateVersionMs and agreementValidMs grow with the number of turns.
  std::size_t peersPerRound = 16;
};

struct AuditCounters {
  std::uint64_t rounds = 0, steps = 0;     // `steps` counts the steps of cases and windows
  std::uint64_t agreed = 0, diverged = 0;  // reports
  std::uint64_t late = 0, windows = 0;     // reports of late versions; replayed traffic windows
  std::uint64_t stale = 0;                 // ignored messages from an earlier process or already superseded
  std::uint64_t refused = 0;               // ignored messages that contradict earlier ones or exceed a limit
  std::uint64_t bytesOut = 0;
};

}  // namespace myrtleloft
