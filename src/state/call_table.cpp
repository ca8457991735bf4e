#include "state/call_table.h"

namespace myrtleloft::policy {

Call& CallTable::begin(double nowMs, Endpoint& endpoint, std::optional<double> idleMs) {
  Call& call = calls_[++lastId_];
  call.id = lastId_;
  call.endpoint = &endpoint;
  call.sentMs = nowMs;
  call.idleMs = idleMs;
  endpoint.calls[call.id] = &call;
  endpoint.upstream->beginCall();
  return call;
}

void CallTable::join(Request& request, Call& call) {
  call.requestIds.push_back(request.id);
  ++call.pending;
  request.call = call.id;
  ++request.attempts;
}

CallTable::RecordedOutcome CallTable::recordOutcome(std::int64_t id) {
  const auto found = calls_.find(id);
  RecordedOutcome result{found->second, --found->second.pending == 0};
  found->second.recorded = true;
  if (result.finished) {
    result.call.endpoint->calls.erase(id);
    result.call.endpoint->upstream->endCall();
    calls_.erase(found);
  }
  return result;
}

}  // namespace myrtleloft::policy
