#include "notices/notification_sender.h"

#include <algorithm>
#include <cmath>

#include "json/json.h"

namespace myrtleloft {
namespace {

// The protocol's platform answers at once, and allows 300 ms from a request's deadline to its notification. A
// call to an endpoint that is given up at the deadline takes 50 ms of that; with posts so far apart, two in a
// row may fail in any way.
constexpr double kPostIntervalMs = 110;  // the platform sees them 100 ms apart or more
constexpr int kPostsWithoutPatience = 2;
constexpr double kMaxAnswerMs = 600;  // of a platform that is slow for everybody
// Before a post is tried again of which nothing reached the platform; twice as long each time in a row.
constexpr double kFirstUnsentRetryMs = 10;
constexpr int kMaxDoublings = 16;

// How long a post may stay without an answer, behind so many failures in a row.
double answerTimeoutMs(int failures) {
  const int doublings = std::clamp(failures + 1 - kPostsWithoutPatience, 0, kMaxDoublings);
  return std::min(kMaxAnswerMs, std::ldexp(kPostIntervalMs, doublings));
}

// How long to wait behind so many posts in a row that could not be sent.
double unsentRetryMs(int unsent) {
  const int doublings = std::clamp(unsent - 1, 0, kMaxDoublings);
  return std::min(kPostIntervalMs, std::ldexp(kFirstUnsentRetryMs, doublings));
}

constexpr std::size_t kMostAtOnce = 200;

}  // namespace

void NotificationSender::add(const std::string& id, FinalStatus verdict, double waitMs) {
  std::string line = R"({"ref":)" + json::quote(id);
  line += verdict == FinalStatus::kFailed ? R"(,"result":"dead")" : R"(,"result":"bounced")";
  if (verdict == FinalStatus::kReturned && waitMs > 0)
    line += R"(,"wait_ms":)" + std::to_string(static_cast<std::int64_t>(std::ceil(waitMs)));
  waiting_.push_back({id, line + "}\n"});
  if (posted_ == 0 && timer_ == Loop::kNoTimer) again(0);  // those of one batch go together
}

void NotificationSender::onAddressChanged() {
  connection_.reset();
  if (posted_ == 0) return;
  // Cut off half-way: whether the old address took them on is not known, and twice does no harm.
  posted_ = 0;
  ++counters_.notificationRetries;
  loop_.cancel(timer_);
  again(0);
}

void NotificationSender::again(double delayMs) {
  timer_ = loop_.after(delayMs, [this] { post(); });
}

void NotificationSender::post() {
  timer_ = Loop::kNoTimer;
  if (waiting_.empty()) return;
  posted_ = std::min(waiting_.size(), oneByOne_ ? 1 : kMostAtOnce);
  std::string body;
  for (std::size_t i = 0; i < posted_; ++i) body += waiting_[i].line;
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
                          "bytes of the platform that answer no post", {{"peer", "platform"}});
  }
  const std::size_t posted = std::exchange(posted_, 0);
  const int status = result.end == ClientConnection::End::kAnswered ? result.answer.status : 0;
  const bool confirmed = status == 204 || status == 200;
  // One notice that cannot be read must not hold back the others: alone it is set aside.
  const bool unreadable = status == 400 && posted == 1;
  if (confirmed || unreadable) {
    failuresInRow_ = unsentInRow_ = 0;
    if (unreadable) {
      const std::string& line = waiting_.front().line;
      log_.write(LogLevel::kError, "notice.refused",
                 "notice not accepted: " + line.substr(0, line.size() - 1), {{"ref", waiting_.front().id}});
    }
    if (confirmed) counters_.notifications += posted;
    oneByOne_ = unreadable || (oneByOne_ && waiting_.size() > posted);
    for (std::size_t i = 0; i < posted; ++i) {
      const std::string id = waiting_.front().id;
      waiting_.pop_front();
      confirmed_(id);
    }
    if (!waiting_.empty() && timer_ == Loop::kNoTimer) again(0);
    return;
  }
  if (result.end == ClientConnection::End::kNotSent) return onUnsent();
  oneByOne_ = oneByOne_ || status == 400;
  ++counters_.notificationRetries;
  ++failuresInRow_;
  unsentInRow_ = 0;
  again(postedAtMs_ + kPostIntervalMs - loop_.nowMs());
}

// It says nothing of how fast the platform answers.
void NotificationSender::onUnsent() {
  posted_ = 0;
  ++counters_.notificationRetries;
  again(unsentRetryMs(++unsentInRow_));
}

}  // namespace myrtleloft
