// UpstreamClient: how calls end, by an answer, a timeout, a cancellation or a broken connection.
#include <algorithm>
#include <utility>

#include "outbound/answers.h"
#include "outbound/upstream_client.h"

namespace myrtleloft {
namespace {

// How long a half-closed connection is kept for an answer that the endpoint wrote before it noticed. This is
// half of the 100 ms that the protocol allows between a stated Retry-After and the last call that may still
// arrive.
constexpr double kHalfClosedMs = 50;

// Returns the outcome of an attempt without an answer. It is known not executed if its last byte was not
// written, and kNotSent, for which the endpoint is not responsible, if it had no slot or no descriptor.
Outcome unanswered(const ClientConnection* connection, Outcome outcome) {
  if (outcome == Outcome::kNotSent || !connection || !connection->open()) return Outcome::kNotSent;
  return connection->lastByteWritten() ? outcome : Outcome::kConnectFailed;
}

}  // namespace

// A request must not be sent after its deadline, because it may then have been rejected to its client. As
// long as no byte of a bulk call is written, only the expired requests are removed from it. Once it has
// begun, the whole call is abandoned at the earliest deadline: its X-Timeout is that of the earliest item,
// and a later answer would not count as a delivery for the other items either.
void UpstreamClient::armTimeout(std::uint64_t number) {
  Call& call = calls_.at(number);
  const auto earliest = std::ranges::min_element(call.items, {}, &CallItem::answerDeadlineMs);
  call.timeoutTimer = loop_.after(remainingMs(*earliest), [this, number] { onTimeout(number); });
}

void UpstreamClient::onTimeout(std::uint64_t number) {
  Call& call = calls_.at(number);
  const auto split = std::stable_partition(call.items.begin(), call.items.end(),
                                           [this](const CallItem& item) { return remainingMs(item) > 0; });
  const bool begun = call.connection && call.connection->begun();
  if (begun || split == call.items.begin()) return giveUp(number, Outcome::kTimeout);
  const Outcome expired = unanswered(call.connection.get(), Outcome::kTimeout);
  std::vector<CallOutcome> outcomes;
  for (auto item = split; item != call.items.end(); ++item) outcomes.push_back({item->id, expired, false, 0});
  call.items.erase(split, call.items.end());
  if (call.connection && call.connection->open()) write(number);  // without the expired items
  armTimeout(number);
  report(call, loop_.nowMs(), std::move(outcomes), {});
}

UpstreamClient::Call UpstreamClient::removeCall(std::uint64_t number) {
  Call call = std::move(calls_.at(number));
  calls_.erase(number);
  waitingForSlot_.erase(number);
  loop_.cancel(call.connectTimer);
  loop_.cancel(call.timeoutTimer);
  loop_.cancel(call.sendDeadlineTimer);
  // Deferred, so that this call's connection is closed and other cancellations are finished first.
  if (!waitingForSlot_.empty()) loop_.after(0, [this] { startWaitingCalls(); });
  return call;
}

void UpstreamClient::giveUp(std::uint64_t number, Outcome outcome) {
  Call& pending = calls_.at(number);
  if (pending.halfClosedOutcome) return;
  // An answer that has arrived counts even if the loop has not read it yet.
  if (pending.connection && pending.connection->processUnread()) return;
  const bool mayBeAnswered = pending.connection && pending.connection->open() &&
                             pending.connection->lastByteWritten() && !pending.connection->answerBegun();
  if (outcome != Outcome::kNotSent && mayBeAnswered) return halfClose(number, outcome);
  Call call = removeCall(number);
  // A partial answer may still state a delivery or a Retry-After.
  if (call.connection && call.connection->answerBegun())
    return reportInvalidAnswer(call, call.connection->answerArrivedMs(), call.connection->partialAnswer());
  reportUnanswered(call, unanswered(call.connection.get(), outcome));
}

void UpstreamClient::halfClose(std::uint64_t number, Outcome outcome) {
  Call& call = calls_.at(number);
  call.halfClosedOutcome = outcome;
  call.connection->halfClose();
  loop_.cancel(call.timeoutTimer);
  call.timeoutTimer = loop_.after(kHalfClosedMs, [this, number] {
    if (calls_.at(number).connection->processUnread()) return;
    const Call halfClosed = removeCall(number);
    if (halfClosed.connection->answerBegun())
      return reportInvalidAnswer(halfClosed, halfClosed.connection->answerArrivedMs(),
                                 halfClosed.connection->partialAnswer());
    reportUnanswered(halfClosed, *halfClosed.halfClosedOutcome);
  });
}

void UpstreamClient::onResult(std::uint64_t number, const ClientConnection::Result& result) {
  Call call = removeCall(number);
  if (result.unsolicited) {
    ++counters_.unsolicited;
    listener_->onUnsolicited(call.uid);
  }
  if (result.end == ClientConnection::End::kWithheld) return reportUnanswered(call, Outcome::kNotSent);
  if (result.end == ClientConnection::End::kInvalidAnswer) {
    ++counters_.malformedAnswers;
    return reportInvalidAnswer(call, result.arrivedMs, result.answer);
  }
  if (result.end != ClientConnection::End::kAnswered && call.halfClosedOutcome)
    return reportUnanswered(call, *call.halfClosedOutcome);
  if (result.end != ClientConnection::End::kAnswered) {
    const bool neverRan = result.end == ClientConnection::End::kNotSent;
    return reportUnanswered(call, neverRan ? Outcome::kConnectFailed : Outcome::kReset);
  }
  call.connection.reset();
  const LoadReport loadReport = readReport(result.answer, options_.reportColumns);
  if (call.bulk && result.answer.status == 200)
    report(call, result.arrivedMs, readBulkAnswer(result.answer, call.items), loadReport);
  else
    reportAll(call, result.arrivedMs, readAnswer(result.answer), loadReport);
}

void UpstreamClient::reportUnanswered(const Call& call, Outcome outcome) {
  reportAll(call, loop_.nowMs(), {"", outcome, false, 0}, {});
}

void UpstreamClient::reportInvalidAnswer(const Call& call, double arrivedMs,
                                         const HttpMessage& partialAnswer) {
  reportAll(call, arrivedMs, readInvalidAnswer(partialAnswer, call.bulk), {});
}

void UpstreamClient::reportAll(const Call& call, double arrivedMs, const CallOutcome& common,
                               const LoadReport& loadReport) {
  std::vector<CallOutcome> outcomes;
  for (const CallItem& item : call.items)
    outcomes.push_back({item.id, common.outcome, common.completed, common.retryAfterMs});
  report(call, arrivedMs, std::move(outcomes), loadReport);
}

void UpstreamClient::report(const Call& call, double arrivedMs, std::vector<CallOutcome> outcomes,
                            const LoadReport& loadReport) {
  for (CallOutcome& outcome : outcomes) {
    outcome.arrivedMs = arrivedMs;
    outcome.halfClosed = call.halfClosedOutcome.has_value();
    ++counters_.outcomes.at(static_cast<std::size_t>(outcome.outcome));
  }
  listener_->onOutcomes(call.uid, outcomes, loadReport);
}

}  // namespace myrtleloft
