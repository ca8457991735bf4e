#include "exchange/unsent_attempts.h"

namespace myrtleloft {

void UnsentAttempts::reportRecorded(const std::string& id, const std::string& endpoint) {
  OpenRequest* const request = parts_.requests.find(id);
  if (request == nullptr) return push(id, endpoint, 0, true);
  parts_.journal.recordNotExecuted(request->pending);
  parts_.quotas.refundCall(request->charge);
  push(id, endpoint, request->pending.attempts - 1, false);
}

void UnsentAttempts::reportUnrecorded(const std::string& id, const std::string& endpoint) {
  OpenRequest* const request = parts_.requests.find(id);
  if (request == nullptr) return push(id, endpoint, 0, true);
  // The journal counts an attempt when it records it; this one has no record and is counted here.
  const int attempt = request->pending.attempts++;
  push(id, endpoint, attempt, false);
}

void UnsentAttempts::push(const std::string& id, const std::string& endpoint, int attempt, bool isCompleted) {
  parts_.scheduler.push(OutcomeEvent{id, attempt, endpoint, Outcome::kNotSent, isCompleted, 0, {}});
}

}  // namespace myrtleloft
