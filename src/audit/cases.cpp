#include "audit/cases.h"

#include <utility>

namespace myrtleloft {

Hash CaseStep::digest() const { return hashOf(std::vector<Hash>{hashOf(input), hashOf(output)}); }

CaseSet::CaseSet(const Hash& version, std::vector<std::unique_ptr<CaseFamily>> families)
    : version_(version), families_(std::move(families)) {
  for (const auto& family : families_) size_ += family->cases();
}

CaseSet::Location CaseSet::at(std::size_t number) const {
  for (const auto& family : families_) {
    if (number < family->cases()) return {family.get(), number};
    number -= family->cases();
  }
  return {};
}

std::unique_ptr<CaseRun> CaseSet::begin(std::size_t number) const {
  const Location location = at(number);
  return location.family->begin(version_, location.index);
}

}  // namespace myrtleloft
