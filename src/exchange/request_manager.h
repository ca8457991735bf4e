// Connects the HTTP server, the decision module, the journal and the upstream client. It makes no decisions
// and keeps no state of its own; both are in its components:
//
//   RequestTable      the open requests
//   CompletedRequests how recently completed requests ended
//   Admission         admits or rejects new requests
//   QuotaCharges      charges them to their tenants' quotas
//   BatchScheduler    collects events and runs the decision module
//   JournaledSends    records attempts before their calls are sent
//   DurabilityQueue   holds back calls and 202 answers until their records are durable
//   UnsentAttempts    reports attempts that were never sent
//   CallTracker       tracks calls in flight and their outcomes
//   Completions       records completions and answers the client or notifies the platform
//   RequestRecovery   takes over the pending requests of an earlier process
//   JournalCompactor  compacts the journal in steps
//
// A request arrives by onRequest, is decided on in the next batch, recorded, and accepted once its record is
// durable. Each attempt is recorded before its first byte is sent. The request is erased when it has been
// delivered or rejected, or when the platform has confirmed its notification.
//
//   RequestManager manager({loop, directory, journal, notifications, outbound, counters}, settings);
//   outbound.setListener(manager);
//   notifications.onConfirmed([&](const std::string& id) { manager.onConfirmed(id); });
//   manager.recover(std::move(found), directory.begin(known, writtenWallMs));
//
// Single-threaded, on the loop's thread; no function throws or blocks. Costs are those of the components.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "exchange/admission.h"
#include "exchange/call_tracker.h"
#include "exchange/request_recovery.h"

namespace myrtleloft {

class RequestManager : public RequestSink, public CallListener {
 public:
  // All must outlive the request manager.
  struct Parts {
    Loop& loop;
    EndpointDirectory& directory;
    Journal& journal;
    NotificationSender& notifications;
    UpstreamClient& outbound;
    Counters& counters;
    QuotaAdmission* quotas = nullptr;  // null if there are no quotas
    // For rule violations and request traces; standard error if not set.
    std::optional<Log> log = std::nullopt;
  };
  RequestManager(const Parts& parts, const Settings& settings);
  RequestManager(const RequestManager&) = delete;  // its components refer to each other
  RequestManager& operator=(const RequestManager&) = delete;

  // Passes the first endpoint list and the pending requests of an earlier process to the decision module, in
  // one batch. Must be called once, before any other function.
  void recover(Recovered recovered, EndpointListEvent initialList);
  void onList(EndpointListEvent event);
  // The platform has confirmed the notification of that request.
  void onConfirmed(const std::string& id) { completions_.onConfirmed(id); }
  // `request` is called when the decision module asks for a poll of discovery, because requests wait for the
  // endpoint list to be confirmed.
  void setListRequest(std::function<void()> request) { requestList_ = std::move(request); }
  // The journal's syncer has results to collect.
  void onSynced();
  // Stops the decision module, rejects the requests that wait for its next batch, and withdraws the calls
  // that have not been sent. Calls in flight continue to their outcome; all other requests stay in the
  // journal.
  void drain();
  // Whether no request is open.
  bool idle() const { return requests_.empty(); }
  // For when no sync will cover the waiting batches in time: rejects the clients that wait for their 202, so
  // that nothing of theirs is pending in the journal, and reports the waiting calls as not sent.
  void rejectWaiting() { durabilityQueue_.rejectWaiting(); }
  // For the end of the process: answers the clients whose rejection waits for its record according to what
  // the next process will find, which is 202 if the request is still pending in the journal.
  void answerPendingRejections() { completions_.answerPendingRejections(); }
  // `observer` is called with the events of each batch just before the module decides; it must not change
  // anything.
  void observeBatches(BatchScheduler::Observer observer) { scheduler_.observe(std::move(observer)); }
  // For the end of the process: answers the clients that still wait. Requests in `recorded`, which the
  // journal would recover, are answered as accepted, all others as rejected. At the level `group`, requests
  // whose records no sync has covered are not answered.
  void answerFromJournal(const PendingTable& recorded);

  void onRequest(IncomingRequest request, AnswerCallback callback) override;
  void onClientDisconnect(const std::string& id) override;
  void onUnsolicited(const std::string& uid) override;
  bool maySend(const OutgoingCall& call) override { return calls_.maySend(call); }
  void onOutcomes(const std::string& uid, const std::vector<CallOutcome>& outcomes,
                  const LoadReport& report) override {
    calls_.onOutcomes(uid, outcomes, report);
  }

 private:
  // Executes the actions of one batch: completions and cancellations first, then acceptances and sends.
  void executeActions(const std::vector<Action>& actions);
  void executeUnlessSend(const Action& action);
  void cancel(const std::string& id);

  std::function<void()> requestList_ = [] {};
  // In the order of construction: each refers only to those above it.
  Parts parts_;
  Settings settings_;
  Log log_;
  RequestTrace trace_;
  RuleGuard guard_;
  QuotaCharges quotas_;
  RequestTable requests_;
  CompletedRequests completed_;
  BatchScheduler scheduler_;
  JournalCompactor compactor_;
  UnsentAttempts unsent_;
  JournaledSends sends_;
  Completions completions_;
  DurabilityQueue durabilityQueue_;
  Admission admission_;
  CallTracker calls_;
  RequestRecovery recovery_;
};

}  // namespace myrtleloft
