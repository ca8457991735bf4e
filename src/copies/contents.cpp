#include "copies/contents.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

const PendingRequest* PendingTable::find(const std::string& id) const {
  const auto at = requests_.find(id);
  return at == requests_.end() ? nullptr : &at->second;
}

void PendingTable::put(PendingRequest request) {
  PendingRequest& entry = requests_[request.id];
  if (!entry.id.empty()) bytes_ -= encodedSize(entry);
  bytes_ += encodedSize(request);
  entry = std::move(request);
}

std::string PendingTable::apply(Record record) {
  if (auto* accepted = std::get_if<AcceptedRecord>(&record)) {
    std::string id = accepted->pending.id;
    put(std::move(accepted->pending));
    return id;
  }
  std::string id;
  const auto at = std::visit(
      [&](const auto& value) {
        if constexpr (requires { value.id; }) id = value.id;
        return requests_.find(id);
      },
      record);
  if (at == requests_.end()) return id;
  PendingRequest& pendingRequest = at->second;
  bytes_ -= encodedSize(pendingRequest);
  if (std::holds_alternative<CompletedRecord>(record)) {
    requests_.erase(at);
    return id;
  }
  if (auto* attempt = std::get_if<AttemptRecord>(&record)) {
    pendingRequest.attempts = std::max(pendingRequest.attempts, attempt->attempt.attempt + 1);
    std::erase_if(pendingRequest.ambiguousAttempts, [&](const RecordedAttempt& recorded) {
      return recorded.attempt == attempt->attempt.attempt;
    });
    pendingRequest.ambiguousAttempts.push_back(std::move(attempt->attempt));
  } else if (const auto* notExecuted = std::get_if<NotExecutedRecord>(&record)) {
    std::erase_if(pendingRequest.ambiguousAttempts,
                  [&](const RecordedAttempt& recorded) { return recorded.attempt == notExecuted->attempt; });
  } else if (const auto* finalStatus = std::get_if<FinalStatusRecord>(&record)) {
    pendingRequest.status = finalStatus->status;
    pendingRequest.retryAfterMs = finalStatus->retryAfterMs;
  }
  bytes_ += encodedSize(pendingRequest);
  return id;
}

}  // namespace myrtleloft
