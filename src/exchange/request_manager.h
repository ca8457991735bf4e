// Connects the client side, the decision module, the journal and the upstream side. It decides nothing: the
// state is in the parts that it puts together.
//
//   RequestTable       the open requests
//   Admission          which new requests come in          QuotaCharges      what they are charged
//   BatchScheduler     when the decision module decides    JournaledSends    attempts recorded before calls
//   DurabilityQueue        what waits for a sync               UnsentAttempts    attempts that never left
//   CallTracker        calls in flight and their outcomes  Completions       completions that wait for the
//   disk RequestRecovery    the pending requests of an earlier process JournalCompactor   the steps of
//   compaction
//
// A request comes in by onRequest, is decided on in the next batch, recorded, and accepted when its record is
// durable. Its attempts are recorded before their first byte, and it is forgotten when it has been delivered,
// rejected, or the platform has confirmed its notification.
//
//   RequestManager manager({loop, directory, journal, notifications, outbound, counters}, settings);
//   outbound.setListener(manager);
//   notifications.onConfirmed([&](const std::string& id) { manager.onConfirmed(id); });
//   manager.recover(std::move(found), directory.begin(known, writtenWallMs));
//
// One thread, that of the loop; nothing throws, and nothing waits. Costs are those of the parts.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "exchange/admission.h"
#include "exchange/call_tracker.h"
#include "exchange/request_recovery.h"

namespace myrtleloft {

class RequestManager : public RequestSink, public CallListener {
 public:
  // All must outlive it.
  struct Parts {
    Loop& loop;
    EndpointDirectory& directory;
    Journal& journal;
    NotificationSender& notifications;
    UpstreamClient& outbound;
    Counters& counters;
    QuotaAdmission* quotas = nullptr;  // none: no limits but the module's
    // For what the guard reports, and what became of each request; none: standard error.
    std::optional<Log> log = std::nullopt;
  };
  RequestManager(const Parts& parts, const Settings& settings);
  RequestManager(const RequestManager&) = delete;  // its parts refer to each other
  RequestManager& operator=(const RequestManager&) = delete;

  // Hands the decision module the first endpoint list and all that an earlier process left pending, in one
  // batch. Once, before anything else.
  void recover(Recovered found, EndpointListEvent known);
  void onList(EndpointListEvent event);
  // The platform has confirmed the notification of that request.
  void onConfirmed(const std::string& id) { completions_.onConfirmed(id); }
  // The journal's syncer has something to collect.
  void onSynced();
  // From now on the module decides nothing more, and no call leaves: calls in flight are seen to their
  // outcome, the rest stays in the journal.
  void drain();
  // Whether no request is open.
  bool idle() const { return requests_.empty(); }
  // No sync will cover what waits for one, or none in time: clients that wait for their 202 are rejected, and
  // the journal has nothing pending of theirs; calls that wait are reported as not sent.
  void rejectWaiting() { commit_.rejectWaiting(); }
  // The process ends: clients whose rejection waits for its record are answered by what the next process will
  // find: 202 where their request is still pending in the journal.
  void answerPendingRejections() { completions_.answerPendingRejections(); }
  // `observer` sees the events of each batch just before the module decides; it changes nothing.
  void observeBatches(BatchScheduler::Observer observer) { scheduler_.observe(std::move(observer)); }
  // Answers the clients that still wait, for a process that ends here: `recorded` is what the journal would
  // recover, and so accepted; the rest is rejected. At the level `group`, what no sync has covered stays
  // unanswered.
  void answerFromJournal(const PendingTable& recorded);

  void onRequest(IncomingRequest request, AnswerCallback answer) override;
  void onClientDisconnect(const std::string& id) override;
  void onUnsolicited(const std::string& uid) override;
  bool maySend(const OutgoingCall& call) override { return calls_.maySend(call); }
  void onOutcomes(const std::string& uid, const std::vector<CallOutcome>& outcomes,
                  const LoadReport& report) override {
    calls_.onOutcomes(uid, outcomes, report);
  }

 private:
  // The actions of one batch. Completions and cancelled calls come before anything is accepted or sent.
  void carryOut(const std::vector<Action>& actions);
  void carryOutUnlessSend(const Action& action);
  void cancel(const std::string& id);

  // In the order in which they build on each other.
  Parts parts_;
  Settings settings_;
  Log log_;
  RequestTrace trace_;
  RuleGuard guard_;
  QuotaCharges quotas_;
  RequestTable requests_;
  BatchScheduler scheduler_;
  JournalCompactor compactor_;
  UnsentAttempts unsent_;
  JournaledSends sends_;
  Completions completions_;
  DurabilityQueue commit_;
  Admission admission_;
  CallTracker calls_;
  RequestRecovery recovery_;
};

}  // namespace myrtleloft
