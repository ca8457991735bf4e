#include "discovery/discovery_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtleloft {
namespace {

// Where another directory could be polled: a complete list comes without waiting, so that one which is silent
// for so long is down.
constexpr double kCompleteListSilenceMs = 2000;
constexpr double kBetweenSlicesMs = 2;  // of the cache
// After an answer without changes: a directory that does not hold long polls must not be polled without end.
// Well under the 200 ms within which a long poll counts as continued.
constexpr double kUnchangedPauseMs = 50;
constexpr double kMaxListMs = 5000;  // of an answer, from its first byte to its last
constexpr std::size_t kReadSliceBytes = std::size_t{32} * 1024;  // of an answer, in a turn of the loop

}  // namespace

DiscoveryClient::DiscoveryClient(const Parts& parts, const Address& discovery, Options options)
    : parts_(parts),
      discovery_(discovery),
      options_(std::move(options)),
      random_(options_.seed),
      rotation_(1 + options_.otherDirectories.size(), options_.backoff,
                [this] { return std::uniform_real_distribution<double>(0, 1)(random_); }) {}

void DiscoveryClient::start(ChangeCallback changed) {
  onChange_ = std::move(changed);
  scheduleTick();
  startPolling();
}

void DiscoveryClient::startPolling() {
  const double pauseMs = parts_.directory.freshness() == Freshness::kFresh ? rotation_.startDelayMs() : 0;
  if (pauseMs <= 0) return poll();
  pollTimer_ = parts_.loop.after(pauseMs, [this] { poll(); });
}

void DiscoveryClient::onAddressChanged() {
  addressChanged_ = true;
  rotation_.recordAnswer();  // the failures were those of the former address
  parts_.loop.cancel(addressTimer_);
  const double pauseMs = parts_.directory.freshness() == Freshness::kFresh ? rotation_.reloadDelayMs() : 0;
  if (pauseMs <= 0) return poll();
  addressTimer_ = parts_.loop.after(pauseMs, [this] { poll(); });
}

void DiscoveryClient::poll() {
  parts_.loop.cancel(pollTimer_);
  if (addressChanged_) moveToNewAddress();
  const EndpointTable& table = parts_.directory.endpoints();
  const bool needsCompleteList = needsCompleteList_ || parts_.directory.needsCompleteList() || table.empty();
  // With nothing new, a directory would let a list that is not fresh wait for its confirmation, while classes
  // are rejected. Every other poll waits all the same: one that did not help is not repeated at once.
  const bool immediate = parts_.directory.freshness() != Freshness::kFresh && !lastPollImmediate_;
  kind_ = needsCompleteList ? PollKind::kCompleteList
          : immediate       ? PollKind::kImmediate
                            : PollKind::kLongPoll;
  polledAtMs_ = parts_.loop.nowMs();
  openConnection();
  if (!connection_->open()) {
    pollTimer_ = parts_.loop.after(options_.backoff.minMs, [this] { poll(); });
    return;
  }
  lastPollImmediate_ = immediate;
  connection_->send(writeRequest("GET", target(), address().text, {}, ""),
                    [this, from = connection_.get()](ClientConnection::Result result) {
                      onResult(from, std::move(result));
                    });
  armTimeout();
}

void DiscoveryClient::moveToNewAddress() {
  parts_.loop.cancel(addressTimer_);
  connection_.reset();
  previousConnection_.reset();
  reader_.reset();
  addressChanged_ = false;
  followsAnswer_ = false;
  needsCompleteList_ = true;
}

void DiscoveryClient::openConnection() {
  connection_.reset();  // its descriptor may be the only one left
  // The timeout of armTimeout bounds polls that do not wait.
  const double restMs = kind_ == PollKind::kLongPoll ? rotation_.answerTimeoutMs(kMaxListMs) : kMaxListMs;
  connection_ = std::make_unique<ClientConnection>(
      parts_.loop, address(), ClientConnection::AnswerLimits{options_.maxListBytes, restMs});
}

std::string DiscoveryClient::target() const {
  constexpr const char* kPath = "/discovery/hosts";
  if (kind_ == PollKind::kCompleteList) return kPath;
  const int waitMs = kind_ == PollKind::kImmediate ? 0 : PollSchedule::kLongPollMs;
  return std::string(kPath) + "?after=" + std::to_string(parts_.directory.endpoints().revision()) +
         "&wait_ms=" + std::to_string(waitMs);
}

void DiscoveryClient::armTimeout() {
  const double intervalMs = options_.backoff.maxPollIntervalMs;
  const bool mayRotate = kind_ == PollKind::kCompleteList && !options_.otherDirectories.empty();
  const double maxMs = mayRotate ? std::min(kCompleteListSilenceMs, intervalMs) : intervalMs;
  pollTimer_ = parts_.loop.after(rotation_.answerTimeoutMs(maxMs), [this] {
    // A long poll that has not been sent completely does not wait at the directory.
    if (kind_ != PollKind::kLongPoll || !connection_->lastByteWritten()) return onOverdue();
    const double untilMs = polledAtMs_ + rotation_.longPollTimeoutMs();
    pollTimer_ = parts_.loop.after(untilMs - parts_.loop.nowMs(), [this] { onOverdue(); });
  });
}

void DiscoveryClient::onOverdue() {
  if (!connection_->answerBegun()) return onSilence();
  previousConnection_ = std::move(connection_);
  poll();
}

// The known list stays. Polls again at once: the silence was pause enough.
void DiscoveryClient::onSilence() {
  rotation_.recordSilence();
  dropConnections();
  poll();
}

void DiscoveryClient::onPollFailed() {
  const double pauseMs =
      rotation_.recordFailure(polledAtMs_ + options_.backoff.maxPollIntervalMs - parts_.loop.nowMs());
  dropConnections();
  pollTimer_ = parts_.loop.after(pauseMs, [this] { poll(); });
}

void DiscoveryClient::dropConnections() {
  connection_.reset();
  followsAnswer_ = false;
  lastPollImmediate_ = false;  // it brought nothing: the next poll is of the same kind
  if (options_.otherDirectories.empty()) return;
  needsCompleteList_ = true;
  previousConnection_.reset();
}

void DiscoveryClient::onResult(const ClientConnection* from, ClientConnection::Result result) {
  if (result.unsolicited) {
    ++parts_.counters.unsolicited;
    parts_.log.writeRateLimited(parts_.loop.nowMs(), LogLevel::kWarning, "answer.unsolicited",
                                "bytes of discovery that answer no poll", {{"peer", "discovery"}});
  }
  const bool answered = result.end == ClientConnection::End::kAnswered && result.answer.status == 200;
  if (previousConnection_ && from == previousConnection_.get()) {
    if (!answered) return previousConnection_.reset();
    connection_ = std::move(previousConnection_);  // the poll beside it would bring nothing more
  }
  parts_.loop.cancel(pollTimer_);
  if (answered) previousConnection_.reset();
  if (result.stalled) return onSilence();
  // A poll that breaks right behind an answered one is no failure and no reason for a backoff. Nor is a long
  // poll that breaks, once in a row: the directory may have a change that it could not send on that
  // connection.
  const bool broke = result.end == ClientConnection::End::kBroken;
  const bool brokeBehindAnswer = broke && std::exchange(followsAnswer_, false);
  const bool longPollBroke = broke && kind_ == PollKind::kLongPoll;
  if (brokeBehindAnswer || (longPollBroke && !std::exchange(longPollReopened_, true))) {
    connection_.reset();
    return startPolling();
  }
  if (result.end != ClientConnection::End::kAnswered) return onPollFailed();
  if (result.answer.status != 200) return onUnusableAnswer("status " + std::to_string(result.answer.status));
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
  // Soon: a long poll counts as continued if the next poll comes within 200 ms of the answer. A list that was
  // not accepted would be the same again at once.
  const bool notAccepted = parts_.directory.lastUpdateRejected();
  const double pauseMs = notAccepted ? options_.backoff.minMs : lastAnswerChanged_ ? 0 : kUnchangedPauseMs;
  pollTimer_ = parts_.loop.after(pauseMs, [this] { poll(); });
}

void DiscoveryClient::onUnusableAnswer(const std::string& error) {
  ++parts_.counters.listFaults;
  if (error != lastError_)
    parts_.log.write(LogLevel::kWarning, "list.unreadable", "discovery's list not taken: " + error,
                     {{"fault", error}, {"directory", rotation_.current()}});
  lastError_ = error;  // polls may come ten times a second: the same error is logged once
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

void DiscoveryClient::tick() {
  tickTimer_ = Loop::kNoTimer;
  if (auto event = parts_.directory.tick()) onChange_(std::move(*event));
  scheduleTick();
}

void DiscoveryClient::onSynced() {
  parts_.directory.onSynced();
  scheduleTick();
}

void DiscoveryClient::scheduleTick() {
  parts_.loop.cancel(tickTimer_);
  const double dueMs = parts_.directory.dueMs();
  if (!std::isfinite(dueMs)) return;
  const double waitMs = std::max(kBetweenSlicesMs, dueMs - parts_.loop.nowMs());
  tickTimer_ = parts_.loop.after(waitMs, [this] { tick(); });
}

}  // namespace myrtleloft
