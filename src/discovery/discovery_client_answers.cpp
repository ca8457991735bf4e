// What the discovery client does with the result of a poll: a broken connection, an answer that cannot be
// used, or an endpoint list.
#include <utility>

#include "discovery/discovery_client.h"

namespace myrtleloft {
namespace {

// The pause after an answer without changes. Without it, a directory that answers long polls immediately
// would be polled in a busy loop. It must stay well below the 200 ms within which a long poll counts as
// continued.
constexpr double kUnchangedPauseMs = 50;
// How much of an answer is parsed in one iteration of the event loop.
constexpr std::size_t kReadSliceBytes = std::size_t{32} * 1024;

}  // namespace

void DiscoveryClient::onResult(const ClientConnection* from, ClientConnection::Result result) {
  if (result.unsolicited) {
    ++parts_.counters.unsolicited;
    parts_.log.writeRateLimited(parts_.loop.nowMs(), LogLevel::kWarning, "answer.unsolicited",
                                "discovery: received bytes that do not belong to the answer of a poll",
                                {{"peer", "discovery"}});
  }
  const bool answered = result.end == ClientConnection::End::kAnswered && result.answer.status == 200;
  if (previousConnection_ && from == previousConnection_.get()) {
    if (!answered) return previousConnection_.reset();
    connection_ = std::move(previousConnection_);  // the poll in flight is redundant
  }
  parts_.loop.cancel(pollTimer_);
  if (answered) previousConnection_.reset();
  if (result.stalled) return onTimeout();
  // If the connection breaks on the first poll after an answer, that is not a failure, and there is no
  // backoff. The same holds for the first long poll that breaks since the last answer: the directory may have
  // a change that it could not send on that connection.
  const bool broke = result.end == ClientConnection::End::kBroken;
  const bool brokeAfterAnswer = broke && std::exchange(followsAnswer_, false);
  const bool longPollBroke = broke && kind_ == PollKind::kLongPoll;
  if (brokeAfterAnswer || (longPollBroke && !std::exchange(longPollReopened_, true))) {
    connection_.reset();
    return startPolling();
  }
  if (result.end != ClientConnection::End::kAnswered) return onPollFailed();
  if (result.answer.status != 200)
    return onUnusableAnswer("HTTP status " + std::to_string(result.answer.status));
  reader_.emplace(std::move(result.answer.body), options_.names);
  readSlice();
}

void DiscoveryClient::readSlice() {
  if (!reader_->step(kReadSliceBytes)) {
    pollTimer_ = parts_.loop.after(0, [this] { readSlice(); });
    return;
  }
  const ListResult result = reader_->take();
  reader_.reset();
  if (const auto* error = std::get_if<ListError>(&result)) return onUnusableAnswer(describe(*error));
  applyList(std::get<EndpointList>(result));
  rotation_.recordAnswer();
  longPollReopened_ = false;
  followsAnswer_ = true;
  needsCompleteList_ = false;
  // The next poll follows soon, because a long poll counts as continued only if the next poll arrives within
  // 200 ms of the answer. After a list that was not accepted there is a pause: the directory would only send
  // the same list again.
  const bool notAccepted = parts_.directory.lastUpdateRejected();
  const double pauseMs = notAccepted ? options_.backoff.minMs : lastAnswerChanged_ ? 0 : kUnchangedPauseMs;
  pollTimer_ = parts_.loop.after(pauseMs, [this] { poll(); });
}

void DiscoveryClient::onUnusableAnswer(const std::string& error) {
  ++parts_.counters.listFaults;
  if (error != lastError_)
    parts_.log.write(LogLevel::kWarning, "list.unreadable", "discovery: endpoint list rejected: " + error,
                     {{"fault", error}, {"directory", rotation_.current()}});
  lastError_ = error;  // a repeated error is logged once, as there may be ten polls per second
  onPollFailed();
}

void DiscoveryClient::applyList(const EndpointList& list) {
  lastError_.clear();
  const std::int64_t revisionBefore = parts_.directory.endpoints().revision();
  auto event = parts_.directory.onList(list, rotation_.current());
  lastAnswerChanged_ = parts_.directory.endpoints().revision() != revisionBefore;
  if (event) {
    ++parts_.counters.lists;
    onChange_(std::move(*event));
  }
  scheduleTick();
}

}  // namespace myrtleloft
