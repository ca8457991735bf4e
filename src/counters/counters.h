// What the relay has taken in, sent and answered since its start.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>

namespace myrtleloft {

struct Counters {
  // inbound
  std::uint64_t connectionsIn = 0, requests = 0, malformed = 0, accepted = 0, failFast = 0, failFastFull = 0;
  std::uint64_t failFastUnknown = 0, failFastStale = 0, failFastQuota = 0;
  std::uint64_t clientDisconnects = 0, evicted = 0, recovered = 0;
  // Requests that lay unread for more than 20 ms before they were read, and the longest of all, in ms.
  std::uint64_t lateReads = 0;
  double maxUnreadMs = 0;
  // outbound
  std::uint64_t connectionsOut = 0, calls = 0, requestsSent = 0, malformedAnswers = 0;
  // Answers of endpoints, platform and discovery beside which bytes came that answer no call.
  std::uint64_t unsolicited = 0;
  static constexpr std::array kOutcomeNames = {"good",          "bad",   "full",      "late",
                                               "no-connection", "reset", "cancelled", "not-sent"};
  std::array<std::uint64_t, 8> outcomes{};  // in the order of Outcome
  // What exchange/rule_guard.h withheld, in the order of Violation.
  static constexpr std::size_t kGuardKinds = 10;
  std::array<std::uint64_t, kGuardKinds> guard{};
  // Clients' connections closed, in the order of CloseReason (inbound/close_reason.h); those of them on which
  // a request was not answered and the client had not gone; and second and further calls of a request.
  static constexpr std::size_t kCloseReasons = 9;
  std::array<std::uint64_t, kCloseReasons> closes{};
  std::uint64_t closedUnanswered = 0, retries = 0;
  // completed
  std::uint64_t delivered = 0, expired = 0, failed = 0, returned = 0, notifications = 0,
                notificationRetries = 0;
  // Notifications that the platform confirmed over 300 ms after the deadline, and the latest of all, in ms.
  std::uint64_t lateNotifications = 0;
  double maxNotificationLateMs = 0;
  // Steps of requests (202, rejection, giving up) that came after another part had decided the request.
  std::uint64_t decidedBefore = 0;
  // the rest
  std::uint64_t batches = 0, lists = 0, listFaults = 0, listsRejected = 0, journalFaults = 0, compactions = 0;
  std::uint64_t reloads = 0, reloadFaults = 0;

  void print(std::ostream& out) const;
};

}  // namespace myrtleloft
