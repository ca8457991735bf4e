// Translates the numbers in records. A record names class, tenant and zone by number, as the settings listed
// them when it was written; another process on the same folder may have other settings. So each segment
// begins with the names, and a reading gives what was recorded under a name the number that the name has now.
//
//   const NameTranslation translation(recorded, now);
//   const RetryPermission permission = translation.apply(request);   // class, tenant, zones: today's numbers
//
// No I/O; safe for several threads. A translation is O(names squared) to make, O(attempts) to apply.
#pragma once

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "journal/records.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

// How far a request of a class may be sent again once it may have been executed: the strictest of what its
// records were written under. By itself no restriction.
struct RetryPermission {
  Idempotency idempotency = Idempotency::kIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::kDestination;
  double idempotencyWindowMs = std::numeric_limits<double>::infinity();  // counts with an idempotency key

  void restrictTo(const RetryPermission& other);
};

class NameTranslation {
 public:
  // The number of a class or tenant whose name is gone: nothing of it can be sent any more. Of a zone it is
  // RecordedAttempt::kLostZone, which no endpoint is in.
  static constexpr int kUnconfigured = -1;

  // `recorded` empty: the names were lost with a damaged part, and all that has one counts as gone.
  NameTranslation(const NameTable& recorded, const NameTable& now);

  RetryPermission apply(PendingRequest& pending) const;
  int zone(int recorded) const;
  // What the class that now has that number meant in the records; nothing where they knew none of its name.
  std::optional<RetryPermission> permission(int classIndex) const;

 private:
  // Today's numbers, by the recorded one.
  std::vector<int> classes_;
  std::vector<int> tenants_;
  std::vector<int> zones_;
  std::vector<RetryPermission> permissions_;  // beside classes_
  bool hadTenants_ = false;
};

}  // namespace myrtleloft
