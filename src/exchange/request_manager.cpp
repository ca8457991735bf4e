#include "exchange/request_manager.h"

#include <iostream>
#include <utility>

namespace myrtleloft {
namespace {

template <typename... Handlers>
struct Visitor : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

}  // namespace

RequestManager::RequestManager(const Parts& parts, const Settings& settings)
    : parts_(parts),
      settings_(settings),
      log_(parts.log.value_or(Log(std::cerr))),
      trace_(log_),
      guard_(settings_, parts.counters, log_),
      quotas_(parts.loop, parts.quotas),
      requests_(parts.counters),
      scheduler_({parts.loop, parts.counters}, settings_,
                 [this](const std::vector<Action>& actions) { executeActions(actions); }),
      compactor_({parts.loop, parts.journal, parts.counters}),
      unsent_({parts.journal, requests_, quotas_, scheduler_}),
      sends_({parts.loop, settings_, parts.directory.endpoints(), parts.journal, parts.counters, requests_,
              quotas_, trace_, unsent_}),
      completions_({parts.loop, parts.journal, parts.notifications, parts.counters, requests_, completed_,
                    quotas_, guard_, trace_, sends_, compactor_}),
      durabilityQueue_({parts.loop, settings_, parts.directory.endpoints(), parts.journal, parts.outbound,
                        parts.counters, requests_, quotas_, trace_, scheduler_, unsent_, completions_}),
      admission_({parts.loop, settings_, parts.directory, parts.journal, parts.counters, requests_,
                  completed_, quotas_, scheduler_, trace_, durabilityQueue_}),
      calls_({parts.loop, settings_, parts.directory.endpoints(), parts.journal, parts.counters, requests_,
              quotas_, scheduler_, guard_, trace_, completions_, durabilityQueue_}),
      recovery_({parts.loop, settings_, parts.directory, parts.journal, parts.notifications, parts.counters,
                 requests_, completed_, quotas_, scheduler_, guard_, completions_}) {}

void RequestManager::recover(Recovered recovered, EndpointListEvent initialList) {
  // The list must come first: without it the endpoints of all ambiguous attempts would seem to be removed.
  scheduler_.enqueue(std::move(initialList));
  recovery_.rememberCompleted(recovered.completed);
  recovery_.recover(recovered.pending);
  scheduler_.run();
}

void RequestManager::onList(EndpointListEvent event) {
  scheduler_.push(std::move(event));
  parts_.outbound.onEndpointsChanged(parts_.directory.endpoints());
}

void RequestManager::onRequest(IncomingRequest request, AnswerCallback callback) {
  admission_.onRequest(std::move(request), std::move(callback));
}

void RequestManager::onClientDisconnect(const std::string& id) {
  const OpenRequest* const request = requests_.find(id);
  if (request == nullptr || !request->answerCallback) return;
  if (request->isUndecided()) {  // otherwise it is decided already, and only its answer is pending
    quotas_.refundRequest(request->charge, request->pending.classIndex);
    scheduler_.push(ClientDisconnectEvent{id});
  }
  // Its call waits for the same sync. The module is told of the disconnect before it can see another request
  // with that id.
  durabilityQueue_.cancelCall(id);
  completions_.close(id);  // the client did not get a 202, so nothing was promised
}

void RequestManager::onSynced() {
  if (!parts_.journal.collect()) {
    // A sync failed: nothing that waited for it may be promised.
    ++parts_.counters.journalFaults;
    durabilityQueue_.rejectWaiting();
  }
  durabilityQueue_.releaseDurable();
  compactor_.step();
}

void RequestManager::drain() {
  admission_.rejectNewRequests();
  durabilityQueue_.withdrawCalls([](const std::string&) { return true; });
  scheduler_.stop();
}

void RequestManager::answerFromJournal(const PendingTable& recorded) {
  const bool isDurable = parts_.journal.durable() == parts_.journal.position();
  for (auto& [id, request] : requests_) {
    const bool isAccepted = recorded.find(id) != nullptr;
    if (isAccepted && !isDurable) continue;
    request.answerClient({isAccepted ? Answer::Kind::kAccepted : Answer::Kind::kRejected, kRetryAfterMs});
  }
}

void RequestManager::executeActions(const std::vector<Action>& actions) {
  // Requests that arrive during this function belong to the next batch: an answer given here may let a client
  // send its next request.
  const std::vector<RequestHandle> newRequests = admission_.takeNewRequests();
  std::vector<const SendAction*> sends;
  for (const Action& action : actions) {
    const auto* const send = std::get_if<SendAction>(&action);
    if (send != nullptr) {
      sends.push_back(send);
    } else {
      executeUnlessSend(action);
    }
  }
  for (const RequestHandle& request : newRequests)
    if (admission_.recordAccepted(request)) durabilityQueue_.stageAccepted(request);
  for (PlannedCall& call : sends_.record(sends, scheduler_.batchMs()))
    durabilityQueue_.stageCall(std::move(call));
  durabilityQueue_.closeBatch();
  parts_.journal.sync();
  durabilityQueue_.releaseDurable();
  compactor_.step();
}

void RequestManager::executeUnlessSend(const Action& action) {
  std::visit(
      Visitor{[](const SendAction&) {},
              [&](const RejectAction& reject) {
                completions_.giveUp(reject.id, FinalStatus::kReturned, reject.retryAfterMs);
              },
              [&](const FailAction& fail) { completions_.giveUp(fail.id, FinalStatus::kFailed, 0); },
              [&](const CancelAction& cancelled) { cancel(cancelled.id); },
              [&](const TimerAction& timer) {
                parts_.loop.after(timer.delayMs,
                                  [this, token = timer.token] { scheduler_.push(TimerEvent{token}); });
              },
              [this](const WatchEndpointListAction&) { requestList_(); },
              [](const CloseIdleConnectionsAction&) {}},  // there are none: each connection carries one call
      action);
}

void RequestManager::onUnsolicited(const std::string& uid) {
  log_.writeRateLimited(parts_.loop.nowMs(), LogLevel::kWarning, "answer.unsolicited",
                        "endpoint " + uid + " sent bytes that belong to no call", {{"peer", uid}});
}

// A call that still waits for the disk has not been sent; the upstream client gives up any other call.
void RequestManager::cancel(const std::string& id) {
  if (!durabilityQueue_.cancelCall(id) && !sends_.cancel(id)) parts_.outbound.abandon(id);
}

}  // namespace myrtleloft
