#include "copies/contents.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

const OwedRequest* Contents::find(const std::string& id) const {
  const auto at = requests_.find(id);
  return at == requests_.end() ? nullptr : &at->second;
}

void Contents::put(OwedRequest request) {
  OwedRequest& kept = requests_[request.id];
  if (!kept.id.empty()) bytes_ -= encodedSize(kept);
  bytes_ += encodedSize(request);
  kept = std::move(request);
}

std::string Contents::apply(Record record) {
  if (auto* taken = std::get_if<TakenRecord>(&record)) {
    std::string id = taken->owed.id;
    put(std::move(taken->owed));
    return id;
  }
  std::string id;
  const auto at = std::visit(
      [&](const auto& r) {
        if constexpr (requires { r.id; }) id = r.id;
        return requests_.find(id);
      },
      record);
  if (at == requests_.end()) return id;
  OwedRequest& owed = at->second;
  bytes_ -= encodedSize(owed);
  if (std::holds_alternative<EndedRecord>(record)) {
    requests_.erase(at);
    return id;
  }
  if (auto* attempt = std::get_if<AttemptRecord>(&record)) {
    owed.attempts = std::max(owed.attempts, attempt->doubt.attempt + 1);
    std::erase_if(owed.doubts, [&](const Doubt& d) { return d.attempt == attempt->doubt.attempt; });
    owed.doubts.push_back(std::move(attempt->doubt));
  } else if (const auto* harmless = std::get_if<HarmlessRecord>(&record)) {
    std::erase_if(owed.doubts, [&](const Doubt& d) { return d.attempt == harmless->attempt; });
  } else if (const auto* given = std::get_if<VerdictRecord>(&record)) {
    owed.verdict = given->verdict;
    owed.waitMs = given->waitMs;
  }
  bytes_ += encodedSize(owed);
  return id;
}

}  // namespace myrtleloft
