#include "journal/name_table.h"

#include <algorithm>

namespace myrtleloft {
namespace {

int numberOf(const std::vector<std::string>& names, const std::string& name, int gone) {
  const auto at = std::find(names.begin(), names.end(), name);
  return at == names.end() ? gone : static_cast<int>(at - names.begin());
}

int mapped(const std::vector<int>& numbers, int recorded, int gone) {
  const auto at = static_cast<std::size_t>(recorded);
  return at < numbers.size() ? numbers[at] : gone;
}

}  // namespace

void RetryPermission::restrictTo(const RetryPermission& other) {
  idempotency = std::max(idempotency, other.idempotency);
  if (other.deduplicationScope == DeduplicationScope::kZone) deduplicationScope = DeduplicationScope::kZone;
  idempotencyWindowMs = std::min(idempotencyWindowMs, other.idempotencyWindowMs);
}

NameTranslation::NameTranslation(const NameTable& recorded, const NameTable& now)
    : hasRecordedTenants_(!recorded.tenants.empty()) {
  std::vector<std::string> classes;
  for (const ClassEntry& cls : now.classes) classes.push_back(cls.name);
  for (const ClassEntry& cls : recorded.classes) {
    classes_.push_back(numberOf(classes, cls.name, kUnconfigured));
    RetryPermission& permission = permissions_.emplace_back();
    permission.idempotency = cls.idempotency;
    if (cls.idempotency != Idempotency::kIdempotentWithKey) continue;
    permission.deduplicationScope = cls.deduplicationScope;
    permission.idempotencyWindowMs = cls.idempotencyWindowMs;
  }
  for (const std::string& name : recorded.tenants)
    tenants_.push_back(numberOf(now.tenants, name, kUnconfigured));
  for (const std::string& name : recorded.zones)
    zones_.push_back(numberOf(now.zones, name, RecordedAttempt::kLostZone));
}

RetryPermission NameTranslation::apply(PendingRequest& request) const {
  const auto at = static_cast<std::size_t>(request.classIndex);
  const RetryPermission permission = at < permissions_.size() ? permissions_[at] : RetryPermission();
  request.classIndex = mapped(classes_, request.classIndex, kUnconfigured);
  // Without tenants in the settings, every request has the tenant number 0, which refers to no tenant.
  if (hasRecordedTenants_) request.tenant = mapped(tenants_, request.tenant, kUnconfigured);
  for (RecordedAttempt& attempt : request.ambiguousAttempts) attempt.zone = zone(attempt.zone);
  return permission;
}

int NameTranslation::zone(int recorded) const { return mapped(zones_, recorded, RecordedAttempt::kLostZone); }

std::optional<RetryPermission> NameTranslation::permission(int classIndex) const {
  for (std::size_t i = 0; i < classes_.size(); ++i)
    if (classes_[i] == classIndex) return permissions_[i];
  return std::nullopt;
}

}  // namespace myrtleloft
