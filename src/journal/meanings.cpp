#include "journal/meanings.h"

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

void Allowed::narrow(const Allowed& other) {
  repeat = std::max(repeat, other.repeat);
  if (other.group == Group::kZone) group = Group::kZone;
  memorySpanMs = std::min(memorySpanMs, other.memorySpanMs);
}

Renaming::Renaming(const Meanings& recorded, const Meanings& now) : hadTenants_(!recorded.tenants.empty()) {
  std::vector<std::string> classes;
  for (const ClassMeaning& cls : now.classes) classes.push_back(cls.name);
  for (const ClassMeaning& cls : recorded.classes) {
    classes_.push_back(numberOf(classes, cls.name, kGone));
    Allowed& allowed = allowed_.emplace_back();
    allowed.repeat = cls.repeat;
    if (cls.repeat != Repeat::kByKey) continue;
    allowed.group = cls.group;
    allowed.memorySpanMs = cls.memorySpanMs;
  }
  for (const std::string& name : recorded.tenants) tenants_.push_back(numberOf(now.tenants, name, kGone));
  for (const std::string& name : recorded.zones)
    zones_.push_back(numberOf(now.zones, name, Doubt::kLostZone));
}

Allowed Renaming::apply(OwedRequest& owed) const {
  const auto at = static_cast<std::size_t>(owed.cls);
  const Allowed allowed = at < allowed_.size() ? allowed_[at] : Allowed();
  owed.cls = mapped(classes_, owed.cls, kGone);
  // Without tenants every message has number 0, which names nobody.
  if (hadTenants_) owed.tenant = mapped(tenants_, owed.tenant, kGone);
  for (Doubt& doubt : owed.doubts) doubt.zone = zone(doubt.zone);
  return allowed;
}

int Renaming::zone(int recorded) const { return mapped(zones_, recorded, Doubt::kLostZone); }

std::optional<Allowed> Renaming::allowed(int cls) const {
  for (std::size_t i = 0; i < classes_.size(); ++i)
    if (classes_[i] == cls) return allowed_[i];
  return std::nullopt;
}

}  // namespace myrtleloft
