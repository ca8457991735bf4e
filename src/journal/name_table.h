// Translates the numbers in records. A record refers to class, tenant and zone by their index in the settings
// of the process that wrote it, and a later process on the same folder may have other settings. Therefore
// each segment begins with the names, and recovery maps each recorded number to the number of the same name
// in the current settings.
//
//   const NameTranslation translation(recorded, now);
//   const RetryPermission permission = translation.apply(request);   // translates class, tenant and zones
//
// No I/O; a translation can be used by several threads. Cost: O(names squared) to construct, O(attempts) to
// apply.
#pragma once

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "journal/records.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

// The conditions under which a request that may have been executed can be sent again: the strictest of the
// class settings under which its records were written. The default value has no restriction.
struct RetryPermission {
  Idempotency idempotency = Idempotency::kIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::kDestination;
  double idempotencyWindowMs = std::numeric_limits<double>::infinity();  // with an idempotency key

  // Restricts this permission to what `other` permits as well.
  void restrictTo(const RetryPermission& other);
};

class NameTranslation {
 public:
  // Replaces the number of a class or tenant whose name is not in the current settings; such a request cannot
  // be sent. For a zone, RecordedAttempt::kLostZone is used instead, which no endpoint belongs to.
  static constexpr int kUnconfigured = -1;

  // If `recorded` is empty, the names were lost in a damaged part of the segment, and every class, tenant and
  // zone is translated as not being in the settings.
  NameTranslation(const NameTable& recorded, const NameTable& now);

  // Translates the numbers in the request, and returns what its recorded class permits.
  RetryPermission apply(PendingRequest& pending) const;
  // Returns the current number of a recorded zone.
  int zone(int recorded) const;
  // Returns what the class of this current number permitted according to the recorded names, or std::nullopt
  // if they have no class of its name.
  std::optional<RetryPermission> permission(int classIndex) const;

 private:
  // Current numbers, indexed by the recorded number.
  std::vector<int> classes_;
  std::vector<int> tenants_;
  std::vector<int> zones_;
  std::vector<RetryPermission> permissions_;  // parallel to classes_
  bool hasRecordedTenants_ = false;
};

}  // namespace myrtleloft
