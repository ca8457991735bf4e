// Traces each request at the log level debug: its phases, calls, outcomes and rejections, and why client
// connections were closed. No text is built while that level is off.
//
//   const RequestTrace trace(log);
//   trace.rejected("9b1f", "not-recorded", 1000);
//   trace.outcome("9b1f", "s-5be2", "full", 250);
//
//   event             fields
//   request.received  id, unread_ms, left_ms        unread_ms: from arrival to reading; left_ms: time left
//   request.accepted  id
//   request.rejected  id, reason, wait_ms           before its 202; wait_ms: the stated Retry-After
//   request.called    id, endpoint, attempt         attempt > 0: a retry, for the reason in the last outcome
//   request.departed  id, endpoint, call, cap_ms    the call's first byte may be sent; cap_ms: its timeout.
//                                                   `call` also identifies its connection: one for each call
//   request.outcome   id, endpoint, outcome, detail, given_up        given_up: its call was given up before
//   request.completed id, status, wait_ms, recorded, left_ms         left_ms: time left, negative if overdue
//   request.notified  id, late_ms                   late_ms: from its deadline to the platform's confirmation
//   connection.closed connection, reason, id        a client's connection; id: of its unanswered request
//
// None of them contains a body or an idempotency key. Single-threaded; O(text).
#pragma once

#include <cstdint>
#include <string_view>
#include <utility>

#include "log/log.h"

namespace myrtleloft {

class RequestTrace {
 public:
  explicit RequestTrace(Log log) : log_(std::move(log)), on_(log_.writes(LogLevel::kDebug)) {}

  void received(std::string_view id, double unreadMs, double leftMs) const;
  void accepted(std::string_view id) const;
  void rejected(std::string_view id, std::string_view reason, double waitMs) const;
  void called(std::string_view id, std::string_view endpoint, int attempt) const;
  void departed(std::string_view id, std::string_view endpoint, std::uint64_t call, double capMs) const;
  void outcome(std::string_view id, std::string_view endpoint, std::string_view outcome, std::int64_t detail,
               bool givenUp) const;
  void completed(std::string_view id, std::string_view status, double waitMs, bool recorded,
                 double leftMs) const;
  void notified(std::string_view id, double lateMs) const;
  void closed(std::uint64_t connection, std::string_view reason, std::string_view id) const;

 private:
  void write(std::string_view event, std::string_view id, const Log::Fields& fields) const;

  Log log_;
  bool on_;
};

}  // namespace myrtleloft
