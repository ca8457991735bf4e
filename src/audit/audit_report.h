// What an audit has to say: a verdict on each other relay, and what is told once when it changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "audit/cases.h"
#include "audit/rules_version.h"

namespace myrtleloft {

enum class AuditVerdict : std::uint8_t {
  kNotKnown,  // silent, of another version, not yet played, or on the way down the tree
  kAgree,     // all cases of the same version came out alike, said so in answer to what was lately sent
  kDiffer     // a step of the same version was seen that came out otherwise there
};

enum class OlderVersion : std::uint8_t { kNotKnown, kHere, kThere };

struct AuditReport {
  enum class Kind : std::uint8_t {
    kAgree,
    kDiffer,        // all fields below but `part` and what follows it
    kOtherVersion,  // for two rounds and more; nothing is compared
    kLateVersion,   // ... for AuditTuning::lateMs and more
    kUnsteady       // this program decided otherwise when a case was played again; `peer` is empty
  };
  Kind kind = Kind::kAgree;
  std::string peer, version;
  std::string family;  // "traffic": a window of real events
  std::size_t number = 0, step = 0;
  StepDifference said;
  RulesPart part = RulesPart::kProgram;  // the first one that differs
  double forMs = 0;
  OlderVersion older = OlderVersion::kNotKnown;
};

struct AuditTuning {
  double everyMs = 30000;
  // A version that differs for longer is told of as late. A rolling change of a fleet takes minutes.
  double lateMs = 600000;
  // How long after my word, to which another's agreement was the answer, it still counts.
  double agreeForMs = 120000;
  double againMs = 5000;         // an unanswered question is asked again after
  int tries = 3;                 // ... so many times in all, then the walk is given up until the next root
  int questionsARound = 8;       // of one peer that are answered; a walk takes four
  std::size_t peersARound = 16;  // of more, so many in turn; lateMs and agreeForMs grow with the turns
};

struct AuditCounters {
  std::uint64_t rounds = 0, steps = 0;     // of cases played
  std::uint64_t agreed = 0, differed = 0;  // reports
  std::uint64_t late = 0, windows = 0;     // told late; windows of real traffic played
  std::uint64_t stale = 0;                 // of an earlier process, or said before: ignored
  std::uint64_t refused = 0;               // do not fit what was said before, or too many: ignored
  std::uint64_t bytesOut = 0;
};

}  // namespace myrtleloft
