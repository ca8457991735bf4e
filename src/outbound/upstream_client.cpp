#include "outbound/upstream_client.h"

#include <algorithm>
#include <cstdio>
#include <limits>

#include "outbound/answers.h"

namespace myrtleloft {
namespace {

constexpr double kDescriptorMs = 50;  // between two looks for a free one

std::string seconds(double ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", ms / 1000);
  return text;
}

constexpr double kMinTimeoutMs = 1;  // that an endpoint is told

}  // namespace

void UpstreamClient::call(const EndpointRecord& endpoint, std::vector<CallItem> items) {
  const std::uint64_t number = ++lastCall_;
  Call& call = calls_[number];
  call.uid = endpoint.info.endpoint;
  call.address = endpoint.address;
  call.bulk = items.size() > 1;
  call.items = std::move(items);
  for (CallItem& item : call.items)
    item.answerDeadlineMs = std::min(item.answerDeadlineMs, loop_.nowMs() + item.timeoutMs);
  armCap(number);
  armLeave(number);
  waiting_.insert(number);
  beginNext();
}

// The module counts a call for what it sends to an endpoint in one batch, but bodies that are long together
// need several.
void UpstreamClient::beginNext() {
  const auto out = [this] { return calls_.size() - waiting_.size(); };
  while (!waiting_.empty() && (limits_.callSlots == 0 || out() < limits_.callSlots))
    begin(waiting_.extract(waiting_.begin()).value());
}

double UpstreamClient::leftMs(const CallItem& item) const { return item.answerDeadlineMs - loop_.nowMs(); }

std::string UpstreamClient::bytesOf(const Call& call) const {
  const std::string& host = call.address.text;
  const CallItem& soonest = *std::ranges::min_element(call.items, {}, &CallItem::answerDeadlineMs);
  const std::string timeout = seconds(std::max(kMinTimeoutMs, leftMs(soonest)));
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
      bytesOf(call), [this, number](const ClientConnection::Result& result) { onResult(number, result); },
      [this, number] {
        const Call& leaving = calls_.at(number);
        return listener_->maySend({number, leaving.uid, leaving.address, leaving.items});
      });
}

void UpstreamClient::begin(std::uint64_t number) {
  Call& call = calls_.at(number);
  ++counters_.calls;
  counters_.requestsSent += call.items.size();
  ++counters_.connectionsOut;
  call.connection = std::make_unique<ClientConnection>(loop_, call.address);
  if (!call.connection->open()) return awaitDescriptor(number);
  write(number);
  if (limits_.connectTimeoutMs <= 0) return;
  call.connectTimer = loop_.after(limits_.connectTimeoutMs, [this, number] {
    if (!calls_.at(number).connection->connected()) giveUp(number, Outcome::kConnectFailed);
  });
}

// Out of descriptors: nothing was sent, and it says nothing of the endpoint. Told at once, the module would
// try again in each batch and use up the request's attempts within a moment. So the call keeps its slot until
// there is room, or its time is up; it is not sent even then, for the module chose its endpoint before the
// trouble.
void UpstreamClient::awaitDescriptor(std::uint64_t number) {
  calls_.at(number).connectTimer = loop_.after(kDescriptorMs, [this, number] {
    if (descriptorFree()) return giveUp(number, Outcome::kNotSent);
    awaitDescriptor(number);
  });
}

void UpstreamClient::onEndpointsChanged(const EndpointTable& set) {
  std::vector<std::uint64_t> moved;
  for (const auto& [number, call] : calls_) {
    const EndpointRecord* endpoint = set.find(call.uid);
    const bool there = endpoint && endpoint->address.text == call.address.text;
    const bool drains = there && endpoint->info.state == EndpointState::kDraining;
    if (there && !drains) continue;
    // A drain counts from a call's first byte, a wrong address up to its last.
    if (!call.connection || (drains ? !call.connection->begun() : !call.connection->lastByteWritten()))
      moved.push_back(number);
  }
  takeBack(moved);
}

// A connection may take seconds to come up, or an endpoint to read on, and the wait binds what arrives then.
// A call counts once its last byte has arrived: of which a byte is missing, nothing has run.
void UpstreamClient::cancelUnsent(const std::function<bool(const std::string&)>& bound) {
  std::vector<std::uint64_t> back;
  for (const auto& [number, call] : calls_)
    if (bound(call.uid) && (!call.connection || !call.connection->lastByteWritten())) back.push_back(number);
  takeBack(back);
}

// A report may recall others, of these too.
void UpstreamClient::takeBack(const std::vector<std::uint64_t>& numbers) {
  for (const std::uint64_t number : numbers)
    if (calls_.count(number)) giveUp(number, Outcome::kNotSent);
}

// It may wait for a slot, for its connection, or for the endpoint to read. A bulk call goes back whole: none
// of it has run.
void UpstreamClient::armLeave(std::uint64_t number) {
  Call& call = calls_.at(number);
  const auto soonest = std::min_element(
      call.items.begin(), call.items.end(),
      [](const auto& left, const auto& right) { return left.sendDeadlineMs < right.sendDeadlineMs; });
  if (soonest->sendDeadlineMs == std::numeric_limits<double>::infinity()) return;
  call.leaveTimer = loop_.after(soonest->sendDeadlineMs - loop_.nowMs(), [this, number] {
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
