#include "discovery/discovery_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtleloft {
namespace {

// The timeout of a poll for the complete list if another directory can be polled instead. A directory answers
// such a poll immediately, so one that has not answered after this time is assumed to be down.
constexpr double kCompleteListTimeoutMs = 2000;
constexpr double kBetweenSlicesMs = 2;  // the pause between two slices of the cache
constexpr double kMaxListMs = 5000;     // the maximum time from the first byte of an answer to its last

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

void DiscoveryClient::requestConfirmation() {
  if (parts_.directory.confirmed() || std::exchange(confirmationRequested_, true)) return;
  parts_.log.write(LogLevel::kInfo, "list.awaited",
                   "discovery: requests wait for the initial list to be confirmed");
  if (!awaitsAnswer() && pollTimer_ != Loop::kNoTimer) poll();
}

bool DiscoveryClient::awaitsAnswer() const {
  if (!connection_) return false;
  return kind_ != PollKind::kLongPoll || reader_ || connection_->answerBegun();
}

bool DiscoveryClient::needsConfirmation() const {
  return !parts_.directory.confirmed() || parts_.directory.freshness() != Freshness::kFresh;
}

void DiscoveryClient::startPolling() {
  const bool isUrgent = confirmationRequested_ && !parts_.directory.confirmed();
  const bool isFresh = parts_.directory.freshness() == Freshness::kFresh;
  const double pauseMs = isFresh && !isUrgent ? rotation_.startDelayMs() : 0;
  if (pauseMs <= 0) return poll();
  pollTimer_ = parts_.loop.after(pauseMs, [this] { poll(); });
}

void DiscoveryClient::onAddressChanged() {
  addressChanged_ = true;
  rotation_.recordAnswer();  // failures of the old address do not count for the new one
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
  // The initial list needs confirmation, because requests wait for it, and so does one that is not fresh,
  // because some classes are rejected. A directory without changes would hold a long poll, so the poll asks
  // for an immediate answer. If that did not confirm the list, the next poll is a long poll
  // again, to avoid a busy loop.
  const bool immediate = needsConfirmation() && !lastPollImmediate_;
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
  connection_.reset();  // closed first, because its file descriptor may be the only one available
  // Polls that are not long polls are bounded by the timeout of armTimeout instead.
  const double listTimeoutMs =
      kind_ == PollKind::kLongPoll ? rotation_.answerTimeoutMs(kMaxListMs) : kMaxListMs;
  connection_ = std::make_unique<ClientConnection>(
      parts_.loop, address(), ClientConnection::AnswerLimits{options_.maxListBytes, listTimeoutMs});
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
  const double maxMs = mayRotate ? std::min(kCompleteListTimeoutMs, intervalMs) : intervalMs;
  pollTimer_ = parts_.loop.after(rotation_.answerTimeoutMs(maxMs), [this] {
    // A long poll that has not been sent completely cannot be waiting at the directory.
    if (kind_ != PollKind::kLongPoll || !connection_->lastByteWritten()) return onOverdue();
    const double untilMs = polledAtMs_ + rotation_.longPollTimeoutMs();
    pollTimer_ = parts_.loop.after(untilMs - parts_.loop.nowMs(), [this] { onOverdue(); });
  });
}

void DiscoveryClient::onOverdue() {
  if (!connection_->answerBegun()) return onTimeout();
  previousConnection_ = std::move(connection_);
  poll();
}

void DiscoveryClient::onTimeout() {
  rotation_.recordTimeout();
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
  lastPollImmediate_ = false;  // the poll got no answer, so the next one may be immediate too
  if (options_.otherDirectories.empty()) return;
  needsCompleteList_ = true;
  previousConnection_.reset();
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
