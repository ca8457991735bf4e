#include "review/support/client.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace myrtleloft::review {
namespace {

std::string seconds(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", value);
  return text.data();
}

std::string requestText(const Submission& submission) {
  std::string text = "POST /" + submission.requestClass + " HTTP/1.1\r\nHost: origin.svc\r\n";
  text += "X-Request-ID: " + submission.id + "\r\nX-Tenant-Id: " + submission.tenant + "\r\n";
  text += "X-Timeout: " + seconds(submission.timeoutS) + "\r\n";
  if (!submission.idempotencyKey.empty()) text += "Idempotency-Key: " + submission.idempotencyKey + "\r\n";
  text += submission.extraHeaders;
  text += "Content-Length: " + std::to_string(submission.body.size()) + "\r\n";
  text += "X-Addressing: dest=" + std::to_string(submission.destination) + "\r\n\r\n";
  return text + submission.body;
}

}  // namespace

void Client::submit(const std::string& relay, const Submission& submission) {
  const auto connection = hub_.connect(
      relay, {[this](lab::Hub::Id from, const lab::Message& message) { onAnswer(from, message); },
              [this](lab::Hub::Id from) { onClosed(from); },
              {}});
  submitOn(connection, submission);
}

void Client::submitOn(lab::Hub::Id connection, const Submission& submission) {
  Submitted& submitted = all_[submission.id];
  submitted.connection = connection;
  submitted.sentMs = steadyMs();
  waiting_[connection] = submission.id;
  record_.write("client: hands in " + submission.id + " of " + submission.requestClass + ", time left " +
                seconds(submission.timeoutS) + " s");
  hub_.send(connection, requestText(submission));
}

void Client::turn() {
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    Submitted& submitted = all_[at->second];
    if (steadyMs() < submitted.sentMs + kAnswerTimeoutMs) {
      ++at;
      continue;
    }
    submitted.status = Submitted::kGaveUp;
    record_.write("client: no answer for " + at->second + " in 400 ms; closes");
    hub_.close(at->first);
    at = waiting_.erase(at);
  }
}

void Client::onAnswer(lab::Hub::Id from, const lab::Message& message) {
  const auto at = waiting_.find(from);
  if (at == waiting_.end()) {
    record_.write("client: an answer that nobody waits for: " + message.start);
    return;
  }
  Submitted& submitted = all_[at->second];
  submitted.status = std::atoi(message.start.substr(message.start.find(' ') + 1).c_str());
  submitted.answeredMs = steadyMs();
  submitted.retryAfter = message.header("retry-after");
  record_.write("client: " + at->second + " is answered " + message.start +
                (submitted.retryAfter.empty() ? "" : ", Retry-After " + submitted.retryAfter));
  waiting_.erase(at);
}

void Client::onClosed(lab::Hub::Id from) {
  const auto at = waiting_.find(from);
  if (at == waiting_.end()) return;
  all_[at->second].status = Submitted::kConnectionLost;
  record_.write("client: connection of " + at->second + " ended without an answer");
  waiting_.erase(at);
}

}  // namespace myrtleloft::review
