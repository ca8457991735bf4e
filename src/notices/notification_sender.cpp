#include "notices/notification_sender.h"

#include <algorithm>
#include <cmath>

#include "json/json.h"

namespace myrtleloft {
namespace {

// The protocol allows 300 ms from a request's deadline to its notification, and the platform normally answers
// at once. A call that is abandoned at the deadline takes 50 ms of that. With this interval, two consecutive
// posts may fail in any way without a late notification.
constexpr double kPostIntervalMs = 110;  // so that they arrive at least 100 ms apart
constexpr int kPostsBeforeBackoff = 2;
constexpr double kMaxAnswerTimeoutMs = 600;  // for a platform that is generally slow
// Backoff after a post that did not reach the platform; doubled for each further one in a row.
constexpr double kFirstUnsentRetryMs = 10;
constexpr int kMaxDoublings = 16;

// Returns how long to wait for the answer to a post after the given number of consecutive failures.
double answerTimeoutMs(int failures) {
  const int doublings = std::clamp(failures + 1 - kPostsBeforeBackoff, 0, kMaxDoublings);
  return std::min(kMaxAnswerTimeoutMs, std::ldexp(kPostIntervalMs, doublings));
}

// Returns the backoff after the given number of consecutive posts that could not be sent.
double unsentRetryMs(int unsentInRow) {
  const int doublings = std::clamp(unsentInRow - 1, 0, kMaxDoublings);
  return std::min(kPostIntervalMs, std::ldexp(kFirstUnsentRetryMs, doublings));
}

constexpr std::size_t kMaxPerPost = 200;

}  // namespace

void NotificationSender::add(const std::string& id, FinalStatus status, double waitMs) {
  std::string line = R"({"ref":)" + json::quote(id);
  line += status == FinalStatus::kFailed ? R"(,"result":"dead")" : R"(,"result":"bounced")";
  if (status == FinalStatus::kReturned && waitMs > 0)
    line += R"(,"wait_ms":)" + std::to_string(static_cast<std::int64_t>(std::ceil(waitMs)));
  pending_.push_back({id, line + "}\n"});
  if (inFlight_ == 0 && timer_ == Loop::kNoTimer)
    schedulePost(0);  // deferred, so that a batch is sent in one post
}

void NotificationSender::onAddressChanged() {
  connection_.reset();
  if (inFlight_ == 0) return;
  // It is unknown whether the old address received the interrupted post; a duplicate notification is
  // harmless.
  inFlight_ = 0;
  ++counters_.notificationRetries;
  loop_.cancel(timer_);
  schedulePost(0);
}

void NotificationSender::schedulePost(double delayMs) {
  timer_ = loop_.after(delayMs, [this] { post(); });
}

void NotificationSender::post() {
  timer_ = Loop::kNoTimer;
  if (pending_.empty()) return;
  inFlight_ = std::min(pending_.size(), oneByOne_ ? 1 : kMaxPerPost);
  std::string body;
  for (std::size_t i = 0; i < inFlight_; ++i) body += pending_[i].line;
  connection_ = std::make_unique<ClientConnection>(loop_, platform_);
  if (!connection_->open()) return onUnsent();
  postedAtMs_ = loop_.nowMs();
  const Headers headers = {{"Content-Type", "application/x-ndjson"}};
  connection_->send(writeRequest("POST", "/v1/outcomes", platform_.text, headers, body),
                    [this](const ClientConnection::Result& result) { onResult(result); });
  timer_ = loop_.after(answerTimeoutMs(failuresInRow_), [this] {
    connection_->close();
    onResult({});
  });
}

void NotificationSender::onResult(const ClientConnection::Result& result) {
  loop_.cancel(timer_);
  if (result.unsolicited) {
    ++counters_.unsolicited;
    log_.writeRateLimited(loop_.nowMs(), LogLevel::kWarning, "answer.unsolicited",
                          "the platform sent bytes that do not answer a notification",
                          {{"peer", "platform"}});
  }
  const std::size_t sent = std::exchange(inFlight_, 0);
  const int status = result.end == ClientConnection::End::kAnswered ? result.answer.status : 0;
  const bool confirmed = status == 204 || status == 200;
  // A notification that the platform cannot parse must not block the others: it is sent alone and then
  // dropped.
  const bool rejected = status == 400 && sent == 1;
  if (confirmed || rejected) {
    failuresInRow_ = unsentInRow_ = 0;
    if (rejected) {
      const std::string& line = pending_.front().line;
      log_.write(LogLevel::kError, "notice.refused",
                 "the platform rejected the notification: " + line.substr(0, line.size() - 1),
                 {{"ref", pending_.front().id}});
    }
    if (confirmed) counters_.notifications += sent;
    oneByOne_ = rejected || (oneByOne_ && pending_.size() > sent);
    for (std::size_t i = 0; i < sent; ++i) {
      const std::string id = pending_.front().id;
      pending_.pop_front();
      confirmed_(id);
    }
    if (!pending_.empty() && timer_ == Loop::kNoTimer) schedulePost(0);
    return;
  }
  if (result.end == ClientConnection::End::kNotSent) return onUnsent();
  oneByOne_ = oneByOne_ || status == 400;
  ++counters_.notificationRetries;
  ++failuresInRow_;
  unsentInRow_ = 0;
  schedulePost(postedAtMs_ + kPostIntervalMs - loop_.nowMs());
}

// Does not count as a failure, because it does not show how fast the platform answers.
void NotificationSender::onUnsent() {
  inFlight_ = 0;
  ++counters_.notificationRetries;
  schedulePost(unsentRetryMs(++unsentInRow_));
}

}  // namespace myrtleloft
