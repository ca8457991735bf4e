// Counts what the relay received, sent and completed since its start. The relay logs the counters at SIGUSR1
// and at its end; docs/operators/log.md lists the printed names.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>

namespace myrtleloft {

struct Counters {
  // Counters of the client side. `failFast` counts requests that the decision module rejected before their
  // 202. The other `failFast...` counters count requests rejected on arrival: `failFastFull` because the
  // relay was full or draining or a sync was overdue, `failFastUnknown` because the destination was unknown,
  // `failFastStale` because the endpoint list was too old, `failFastQuota` because a quota was used up.
  std::uint64_t connectionsIn = 0, requests = 0, malformed = 0, accepted = 0, failFast = 0, failFastFull = 0;
  std::uint64_t failFastUnknown = 0, failFastStale = 0, failFastQuota = 0;
  std::uint64_t clientDisconnects = 0, evicted = 0, recovered = 0;
  // Counts the requests that repeat the id of a completed one and were answered as that was.
  std::uint64_t repeatedIds = 0;
  // Counts the requests that were read more than 20 ms after their arrival; `maxUnreadMs` is the longest such
  // delay in milliseconds.
  std::uint64_t lateReads = 0;
  double maxUnreadMs = 0;
  // Counters of the upstream side: connections, calls, requests sent in calls, and answers that were
  // malformed or incomplete.
  std::uint64_t connectionsOut = 0, calls = 0, requestsSent = 0, malformedAnswers = 0;
  // Counts the answers of endpoints, the platform and discovery with bytes that belong to no call.
  std::uint64_t unsolicited = 0;
  static constexpr std::array kOutcomeNames = {"good",          "bad",   "full",      "late",
                                               "no-connection", "reset", "cancelled", "not-sent"};
  std::array<std::uint64_t, 8> outcomes{};  // one count per request of a call, in the order of Outcome
  // Counts the rule violations found by exchange/rule_guard.h, in the order of Violation.
  static constexpr std::size_t kGuardKinds = 10;
  std::array<std::uint64_t, kGuardKinds> guard{};
  // Counts the closed client connections, in the order of CloseReason (inbound/close_reason.h).
  // `closedUnanswered` counts closed connections with an unanswered request whose client had not
  // disconnected. `retries` counts all calls of a request after its first.
  static constexpr std::size_t kCloseReasons = 9;
  std::array<std::uint64_t, kCloseReasons> closes{};
  std::uint64_t closedUnanswered = 0, retries = 0;
  // Counters of the completed requests by final status, and of the notifications to the platform.
  std::uint64_t delivered = 0, expired = 0, failed = 0, returned = 0, notifications = 0,
                notificationRetries = 0;
  // Counts the notifications that the platform confirmed more than 300 ms after the deadline of their
  // request; `maxNotificationLateMs` is the longest delay after a deadline in milliseconds.
  std::uint64_t lateNotifications = 0;
  double maxNotificationLateMs = 0;
  // Counts the changes of a request's phase (202, rejection, giving up) that were refused because the request
  // had been decided.
  std::uint64_t decidedBefore = 0;
  // Counters of the batches of the decision module, endpoint lists, the journal and configuration reloads.
  std::uint64_t batches = 0, lists = 0, listFaults = 0, listsRejected = 0, journalFaults = 0, compactions = 0;
  std::uint64_t reloads = 0, reloadFaults = 0;

  void print(std::ostream& out) const;
};

}  // namespace myrtleloft
