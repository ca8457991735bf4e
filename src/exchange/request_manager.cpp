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
                 [this](const std::vector<Action>& actions) { carryOut(actions); }),
      compactor_({parts.loop, parts.journal, parts.counters}),
      unsent_({parts.journal, requests_, quotas_, scheduler_}),
      sends_({parts.loop, settings_, parts.directory.endpoints(), parts.journal, parts.counters, requests_,
              quotas_, trace_, unsent_}),
      completions_({parts.loop, parts.journal, parts.notifications, parts.counters, requests_, quotas_,
                    guard_, trace_, sends_, compactor_}),
      commit_({parts.loop, settings_, parts.directory.endpoints(), parts.journal, parts.outbound,
               parts.counters, requests_, quotas_, trace_, scheduler_, unsent_, completions_}),
      admission_({parts.loop, settings_, parts.directory, parts.journal, parts.counters, requests_, quotas_,
                  scheduler_, trace_, commit_}),
      calls_({parts.loop, settings_, parts.directory.endpoints(), parts.journal, parts.counters, requests_,
              quotas_, scheduler_, guard_, trace_, completions_, commit_}),
      recovery_({parts.loop, settings_, parts.directory, parts.journal, parts.notifications, parts.counters,
                 requests_, quotas_, scheduler_, guard_, completions_}) {}

void RequestManager::recover(Recovered found, EndpointListEvent known) {
  // The list goes first: without it every endpoint of a request that may have been executed would look gone.
  scheduler_.enqueue(std::move(known));
  recovery_.recover(found.pending);
  scheduler_.run();
}

void RequestManager::onList(EndpointListEvent event) {
  scheduler_.push(std::move(event));
  parts_.outbound.reconsider(parts_.directory.endpoints());
}

void RequestManager::onRequest(IncomingRequest request, AnswerCallback answer) {
  admission_.onRequest(std::move(request), std::move(answer));
}

void RequestManager::onClientDisconnect(const std::string& id) {
  const OpenRequest* const request = requests_.find(id);
  if (request == nullptr || !request->answer) return;
  if (request->isUndecided()) {  // else it is over already, and only not answered
    quotas_.refundRequest(request->charge, request->pending.classIndex);
    scheduler_.push(ClientDisconnectEvent{id});
  }
  // Its call waits for the same sync. The module hears of it before it may see another request of that id.
  commit_.cancelCall(id);
  completions_.close(id);  // its client has no 202
}

void RequestManager::onSynced() {
  if (!parts_.journal.collect()) {
    // Nothing that waited may be promised any more.
    ++parts_.counters.journalFaults;
    commit_.rejectWaiting();
  }
  commit_.releaseDurable();
  compactor_.step();
}

void RequestManager::drain() {
  admission_.rejectNew();
  commit_.withdrawCalls([](const std::string&) { return true; });
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

void RequestManager::carryOut(const std::vector<Action>& actions) {
  // What comes in from here on, by an answer that lets a client send its next request, is of the next batch.
  const std::vector<RequestHandle> newRequests = admission_.takeNew();
  std::vector<const SendAction*> sends;
  for (const Action& action : actions) {
    const auto* const send = std::get_if<SendAction>(&action);
    if (send != nullptr) {
      sends.push_back(send);
    } else {
      carryOutUnlessSend(action);
    }
  }
  for (const RequestHandle& request : newRequests)
    if (admission_.recordAccepted(request)) commit_.stageAccepted(request);
  for (PlannedCall& call : sends_.record(sends, scheduler_.batchMs())) commit_.stageCall(std::move(call));
  commit_.closeBatch();
  parts_.journal.sync();
  commit_.releaseDurable();
  compactor_.step();
}

void RequestManager::carryOutUnlessSend(const Action& action) {
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
              [](const WatchEndpointListAction&) {},      // the endpoint list is always watched
              [](const CloseIdleConnectionsAction&) {}},  // no connection is idle: each carries one call
      action);
}

void RequestManager::onUnsolicited(const std::string& uid) {
  log_.writeRateLimited(parts_.loop.nowMs(), LogLevel::kWarning, "answer.unsolicited",
                        "bytes of endpoint " + uid + " that answer no call", {{"peer", uid}});
}

// A call that still waits for the disk never left.
void RequestManager::cancel(const std::string& id) {
  if (!commit_.cancelCall(id) && !sends_.cancel(id)) parts_.outbound.abandon(id);
}

}  // namespace myrtleloft
