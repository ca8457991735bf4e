// How calls end: answered, given up, or neither.
#include <algorithm>
#include <utility>

#include "outbound/answers.h"
#include "outbound/upstream_client.h"

namespace myrtleloft {
namespace {

// How long an answer may be on its way that was written before its endpoint learned that the call is given
// up. Half of what a wait lets through (PROTOCOL, "The rules on sockets").
constexpr double kPartingMs = 50;

// What an attempt without an answer comes to: proven not to have run where its last byte was not written, and
// not even the endpoint's doing where there was no slot or no descriptor for it.
Outcome unanswered(const ClientConnection* connection, Outcome outcome) {
  if (outcome == Outcome::kNotSent || !connection || !connection->open()) return Outcome::kNotSent;
  return connection->lastByteWritten() ? outcome : Outcome::kConnectFailed;
}

}  // namespace

// A bulk call has one fate. What has not left must not leave any more once its time is up, for its request
// may be refused to its client: it is taken out of a call of which no byte is written, and the others go on.
// A call that has begun is given up whole with the first of its requests whose time is up: its answer would
// count as no delivery for the others either.
void UpstreamClient::armCap(std::uint64_t number) {
  Call& call = calls_.at(number);
  const auto soonest = std::ranges::min_element(call.items, {}, &CallItem::answerDeadlineMs);
  call.capTimer = loop_.after(leftMs(*soonest), [this, number] { onCap(number); });
}

void UpstreamClient::onCap(std::uint64_t number) {
  Call& call = calls_.at(number);
  const auto split = std::stable_partition(call.items.begin(), call.items.end(),
                                           [this](const CallItem& item) { return leftMs(item) > 0; });
  const bool begun = call.connection && call.connection->begun();
  if (begun || split == call.items.begin()) return giveUp(number, Outcome::kTimeout);
  const Outcome late = unanswered(call.connection.get(), Outcome::kTimeout);
  std::vector<CallOutcome> outcomes;
  for (auto item = split; item != call.items.end(); ++item) outcomes.push_back({item->id, late, false, 0});
  call.items.erase(split, call.items.end());
  if (call.connection && call.connection->open()) write(number);  // without them
  armCap(number);
  report(call, loop_.nowMs(), std::move(outcomes), {});
}

UpstreamClient::Call UpstreamClient::takeOff(std::uint64_t number) {
  Call call = std::move(calls_.at(number));
  calls_.erase(number);
  waiting_.erase(number);
  loop_.cancel(call.connectTimer);
  loop_.cancel(call.capTimer);
  loop_.cancel(call.leaveTimer);
  // Its connection goes first, and with a new list all others that have not left.
  if (!waiting_.empty()) loop_.after(0, [this] { beginNext(); });
  return call;
}

void UpstreamClient::giveUp(std::uint64_t number, Outcome outcome) {
  Call& given = calls_.at(number);
  if (given.parting) return;
  // What has come counts, though the loop has not read it.
  if (given.connection && given.connection->processUnread()) return;
  const bool mayBeAnswered = given.connection && given.connection->open() &&
                             given.connection->lastByteWritten() && !given.connection->answerBegun();
  if (outcome != Outcome::kNotSent && mayBeAnswered) return part(number, outcome);
  Call call = takeOff(number);
  // An answer that has begun has something to say, though its time is up before its end.
  if (call.connection && call.connection->answerBegun())
    return reportSpoilt(call, call.connection->answerArrivedMs(), call.connection->answerSoFar());
  reportUnanswered(call, unanswered(call.connection.get(), outcome));
}

void UpstreamClient::part(std::uint64_t number, Outcome outcome) {
  Call& call = calls_.at(number);
  call.parting = outcome;
  call.connection->endSending();
  loop_.cancel(call.capTimer);
  call.capTimer = loop_.after(kPartingMs, [this, number] {
    if (calls_.at(number).connection->processUnread()) return;
    const Call halfClosed = takeOff(number);
    if (halfClosed.connection->answerBegun())
      return reportSpoilt(halfClosed, halfClosed.connection->answerArrivedMs(),
                          halfClosed.connection->answerSoFar());
    reportUnanswered(halfClosed, *halfClosed.parting);
  });
}

void UpstreamClient::onResult(std::uint64_t number, const ClientConnection::Result& result) {
  Call call = takeOff(number);
  if (result.unsolicited) {
    ++counters_.unsolicited;
    listener_->onUnsolicited(call.uid);
  }
  if (result.end == ClientConnection::End::kWithheld) return reportUnanswered(call, Outcome::kNotSent);
  if (result.end == ClientConnection::End::kInvalidAnswer) {
    ++counters_.malformedAnswers;
    return reportSpoilt(call, result.arrivedMs, result.answer);
  }
  if (result.end != ClientConnection::End::kAnswered && call.parting)
    return reportUnanswered(call, *call.parting);
  if (result.end != ClientConnection::End::kAnswered) {
    const bool neverRan = result.end == ClientConnection::End::kNotSent;
    return reportUnanswered(call, neverRan ? Outcome::kConnectFailed : Outcome::kReset);
  }
  call.connection.reset();
  const LoadReport told = readReport(result.answer, limits_.reportColumns);
  if (call.bulk && result.answer.status == 200)
    report(call, result.arrivedMs, readBulkAnswer(result.answer, call.items), told);
  else
    reportAll(call, result.arrivedMs, readAnswer(result.answer), told);
}

void UpstreamClient::reportUnanswered(const Call& call, Outcome outcome) {
  reportAll(call, loop_.nowMs(), {"", outcome, false, 0}, {});
}

void UpstreamClient::reportSpoilt(const Call& call, double arrivedMs, const HttpMessage& begun) {
  reportAll(call, arrivedMs, readInvalidAnswer(begun, call.bulk), {});
}

void UpstreamClient::reportAll(const Call& call, double arrivedMs, const CallOutcome& like,
                               const LoadReport& told) {
  std::vector<CallOutcome> outcomes;
  for (const CallItem& item : call.items)
    outcomes.push_back({item.id, like.outcome, like.completed, like.retryAfterMs});
  report(call, arrivedMs, std::move(outcomes), told);
}

void UpstreamClient::report(const Call& call, double arrivedMs, std::vector<CallOutcome> outcomes,
                            const LoadReport& told) {
  for (CallOutcome& outcome : outcomes) {
    outcome.arrivedMs = arrivedMs;
    outcome.halfClosed = call.parting.has_value();
    ++counters_.outcomes.at(static_cast<std::size_t>(outcome.outcome));
  }
  listener_->onOutcomes(call.uid, outcomes, told);
}

}  // namespace myrtleloft
