#include "outbound/upstream_client.h"

#include <algorithm>
#include <cstdio>
#include <limits>

#include "outbound/answers.h"

namespace myrtleloft {
namespace {

constexpr double kDescriptorRetryMs = 50;  // interval between checks for a free descriptor

std::string seconds(double ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", ms / 1000);
  return text;
}

constexpr double kMinTimeoutMs = 1;  // the smallest X-Timeout that is sent

}  // namespace

void UpstreamClient::call(const EndpointRecord& endpoint, std::vector<CallItem> items) {
  const std::uint64_t number = ++lastNumber_;
  Call& call = calls_[number];
  call.uid = endpoint.info.endpoint;
  call.address = endpoint.address;
  call.bulk = items.size() > 1;
  call.items = std::move(items);
  for (CallItem& item : call.items)
    item.answerDeadlineMs = std::min(item.answerDeadlineMs, loop_.nowMs() + item.timeoutMs);
  armTimeout(number);
  armSendDeadline(number);
  waitingForSlot_.insert(number);
  startWaitingCalls();
}

// The decision module limits calls too, but counts one for all requests to an endpoint in a batch. If their
// bodies do not fit into one call, more calls than it counts are needed, so the limit is enforced here again.
void UpstreamClient::startWaitingCalls() {
  const auto inProgress = [this] { return calls_.size() - waitingForSlot_.size(); };
  while (!waitingForSlot_.empty() && (options_.callSlots == 0 || inProgress() < options_.callSlots))
    start(waitingForSlot_.extract(waitingForSlot_.begin()).value());
}

double UpstreamClient::remainingMs(const CallItem& item) const {
  return item.answerDeadlineMs - loop_.nowMs();
}

std::string UpstreamClient::serialize(const Call& call) const {
  const std::string& host = call.address.text;
  const CallItem& earliest = *std::ranges::min_element(call.items, {}, &CallItem::answerDeadlineMs);
  const std::string timeout = seconds(std::max(kMinTimeoutMs, remainingMs(earliest)));
  if (call.bulk) {
    const Headers headers = {{"Content-Type", "application/json"}, {"X-Timeout", timeout}};
    return writeRequest("POST", "/inbox/bulk", host, headers, writeBulk(call.items));
  }
  const CallItem& item = call.items.front();
  Headers headers = {{"X-Request-ID", item.id}};
  if (!item.key.empty()) headers.emplace_back("Idempotency-Key", item.key);
  headers.emplace_back("X-Timeout", timeout);
  return writeRequest("POST", "/inbox", host, headers, item.body);
}

void UpstreamClient::write(std::uint64_t number) {
  Call& call = calls_.at(number);
  call.connection->send(
      serialize(call), [this, number](const ClientConnection::Result& result) { onResult(number, result); },
      [this, number] {
        const Call& outgoing = calls_.at(number);
        return listener_->maySend({number, outgoing.uid, outgoing.address, outgoing.items});
      });
}

void UpstreamClient::start(std::uint64_t number) {
  Call& call = calls_.at(number);
  ++counters_.calls;
  counters_.requestsSent += call.items.size();
  ++counters_.connectionsOut;
  call.connection = std::make_unique<ClientConnection>(loop_, call.address);
  if (!call.connection->open()) return awaitDescriptor(number);
  write(number);
  if (options_.connectTimeoutMs <= 0) return;
  call.connectTimer = loop_.after(options_.connectTimeoutMs, [this, number] {
    if (!calls_.at(number).connection->connected()) giveUp(number, Outcome::kConnectFailed);
  });
}

// Called when no descriptor is available. Nothing was sent, and the endpoint is not at fault. If this were
// reported at once, the decision module would retry in each batch and use up the request's attempts within a
// moment. So the call keeps its slot until a descriptor is free or its timeout expires. Even then it is
// reported as not sent, because the choice of its endpoint may be out of date.
void UpstreamClient::awaitDescriptor(std::uint64_t number) {
  calls_.at(number).connectTimer = loop_.after(kDescriptorRetryMs, [this, number] {
    if (hasFreeDescriptor()) return giveUp(number, Outcome::kNotSent);
    awaitDescriptor(number);
  });
}

void UpstreamClient::onEndpointsChanged(const EndpointTable& endpoints) {
  std::vector<std::uint64_t> obsolete;
  for (const auto& [number, call] : calls_) {
    const EndpointRecord* endpoint = endpoints.find(call.uid);
    const bool sameAddress = endpoint && endpoint->address.text == call.address.text;
    const bool drains = sameAddress && endpoint->info.state == EndpointState::kDraining;
    if (sameAddress && !drains) continue;
    // A call may finish on a draining endpoint once its first byte is written, but at an address that the
    // endpoint no longer has only once its last byte is written.
    if (!call.connection || (drains ? !call.connection->begun() : !call.connection->lastByteWritten()))
      obsolete.push_back(number);
  }
  cancelCalls(obsolete);
}

// Connecting, or waiting for an endpoint to read, may take seconds, and a Retry-After also binds calls that
// arrive after it was stated. An endpoint executes a call only once its last byte has arrived, so an
// incomplete one can be cancelled safely.
void UpstreamClient::cancelUnsent(const std::function<bool(const std::string&)>& affected) {
  std::vector<std::uint64_t> unsent;
  for (const auto& [number, call] : calls_)
    if (affected(call.uid) && (!call.connection || !call.connection->lastByteWritten()))
      unsent.push_back(number);
  cancelCalls(unsent);
}

// The listener may cancel further calls while one is reported, so each is looked up again.
void UpstreamClient::cancelCalls(const std::vector<std::uint64_t>& numbers) {
  for (const std::uint64_t number : numbers)
    if (calls_.count(number)) giveUp(number, Outcome::kNotSent);
}

// A call that misses its deadline may be waiting for a slot, for its connection or for the endpoint to read.
// A bulk call is reported as not sent as a whole, because none of its requests has been executed.
void UpstreamClient::armSendDeadline(std::uint64_t number) {
  Call& call = calls_.at(number);
  const auto earliest = std::min_element(
      call.items.begin(), call.items.end(),
      [](const auto& left, const auto& right) { return left.sendDeadlineMs < right.sendDeadlineMs; });
  if (earliest->sendDeadlineMs == std::numeric_limits<double>::infinity()) return;
  call.sendDeadlineTimer = loop_.after(earliest->sendDeadlineMs - loop_.nowMs(), [this, number] {
    const ClientConnection* connection = calls_.at(number).connection.get();
    if (!connection || !connection->lastByteWritten()) giveUp(number, Outcome::kNotSent);
  });
}

void UpstreamClient::abandon(const std::string& id) {
  for (const auto& [number, call] : calls_) {
    const auto carries = [&id](const CallItem& item) { return item.id == id; };
    if (std::none_of(call.items.begin(), call.items.end(), carries)) continue;
    return giveUp(number, Outcome::kCancelled);
  }
}

}  // namespace myrtleloft
