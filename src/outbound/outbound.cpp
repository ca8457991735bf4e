#include "outbound/outbound.h"

#include <algorithm>
#include <cstdio>
#include <limits>

#include "outbound/answers.h"

namespace myrtleloft {
namespace {

constexpr double kDescriptorMs = 50;  // between two looks for a free one
// How long an answer may be on its way that was written before its endpoint learned that the call is given
// up. Half of what a wait lets through (PROTOCOL, "The rules on sockets").
constexpr double kPartingMs = 50;

std::string seconds(double ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", ms / 1000);
  return text;
}

// How long a call is waited for; see onCap.
double waitOf(const std::vector<CallItem>& items) {
  return std::ranges::min(items, {}, &CallItem::capMs).capMs;
}

// What an attempt without an answer comes to: proven not to have run where its last byte was not written, and
// not even the endpoint's doing where there was no slot or no descriptor for it.
Outcome unanswered(const ClientConnection* connection, Outcome outcome) {
  if (outcome == Outcome::kNop || !connection || !connection->open()) return Outcome::kNop;
  return connection->lastByteWritten() ? outcome : Outcome::kNoConn;
}

}  // namespace

void Outbound::call(const EndpointEntry& endpoint, std::vector<CallItem> items) {
  const std::uint64_t number = ++lastCall_;
  Call& call = calls_[number];
  call.uid = endpoint.entry.target;
  call.address = endpoint.address;
  call.bulk = items.size() > 1;
  call.items = std::move(items);
  call.startedMs = loop_.nowMs();
  armCap(number);
  armLeave(number);
  waiting_.insert(number);
  beginNext();
}

// The module counts a call for what it sends to an endpoint in one batch, but bodies that are long together
// need several. (Six slots, and eight calls out: the endpoints turned the surplus away, which cost attempts.)
void Outbound::beginNext() {
  const auto out = [this] { return calls_.size() - waiting_.size(); };
  while (!waiting_.empty() && (limits_.callSlots == 0 || out() < limits_.callSlots))
    begin(waiting_.extract(waiting_.begin()).value());
}

std::string Outbound::bytesOf(const Call& call) const {
  const auto leftMs = [&](double capMs) { return std::max(1.0, call.startedMs + capMs - loop_.nowMs()); };
  const std::string& host = call.address.text;
  if (call.bulk) {
    const Headers headers = {{"Content-Type", "application/json"},
                             {"X-Timeout", seconds(leftMs(waitOf(call.items)))}};
    return writeRequest("POST", "/inbox/bulk", host, headers, writeBulk(call.items));
  }
  const CallItem& item = call.items.front();
  Headers headers = {{"X-Request-ID", item.id}};
  if (!item.key.empty()) headers.emplace_back("Idempotency-Key", item.key);
  headers.emplace_back("X-Timeout", seconds(leftMs(item.capMs)));
  return writeRequest("POST", "/inbox", host, headers, item.body);
}

void Outbound::write(std::uint64_t number) {
  Call& call = calls_.at(number);
  call.connection->send(
      bytesOf(call), [this, number](ClientConnection::Result r) { onResult(number, std::move(r)); },
      [this, number] {
        const Call& leaving = calls_.at(number);
        return listener_->mayLeave({number, leaving.uid, leaving.address, leaving.items});
      });
}

void Outbound::begin(std::uint64_t number) {
  Call& call = calls_.at(number);
  ++counters_.calls;
  counters_.sends += call.items.size();
  call.connection = idle_.take(call.uid, call.address);
  const bool fresh = !call.connection;
  if (fresh) {
    ++counters_.connectionsOut;
    call.connection = std::make_unique<ClientConnection>(loop_, call.address);
    if (!call.connection->open() && idle_.clear())  // no descriptor: those idle are what can be spared
      call.connection = std::make_unique<ClientConnection>(loop_, call.address);
  }
  if (!call.connection->open()) return awaitDescriptor(number);
  write(number);
  if (!fresh || limits_.connectTimeoutMs <= 0) return;
  call.connectTimer = loop_.after(limits_.connectTimeoutMs, [this, number] {
    if (!calls_.at(number).connection->connected()) giveUp(number, Outcome::kNoConn);
  });
}

// Out of descriptors: nothing was sent, and it says nothing of the endpoint. Told at once, the module would
// try again in each batch and use up the request's attempts within a moment. So the call keeps its slot until
// there is room, or its time is up; it is not sent even then, for the module chose its endpoint before the
// trouble.
void Outbound::awaitDescriptor(std::uint64_t number) {
  calls_.at(number).connectTimer = loop_.after(kDescriptorMs, [this, number] {
    if (descriptorFree()) return giveUp(number, Outcome::kNop);
    awaitDescriptor(number);
  });
}

void Outbound::reconsider(const DestinationSet& set) {
  std::vector<std::uint64_t> moved;
  for (const auto& [number, call] : calls_) {
    const EndpointEntry* endpoint = set.find(call.uid);
    const bool there = endpoint && endpoint->address.text == call.address.text;
    const bool drains = there && endpoint->entry.state == RouteState::kStopping;
    if (there && !drains) continue;
    // A drain counts from a call's first byte, a wrong address up to its last.
    if (!call.connection || (drains ? !call.connection->begun() : !call.connection->lastByteWritten()))
      moved.push_back(number);
  }
  takeBack(moved);
  idle_.reconsider(set);
}

// A connection may take seconds to come up, or an endpoint to read on, and the wait binds what arrives then.
// (A call whose first SYN was lost arrived 1.1 s after it was decided, inside a wait that another call had
// been told meanwhile.) A call counts once its last byte has arrived: of which a byte is missing, nothing has
// run.
void Outbound::recall(const std::function<bool(const std::string&)>& bound) {
  std::vector<std::uint64_t> back;
  for (const auto& [number, call] : calls_)
    if (bound(call.uid) && (!call.connection || !call.connection->lastByteWritten())) back.push_back(number);
  takeBack(back);
}

// A report may recall others, of these too.
void Outbound::takeBack(const std::vector<std::uint64_t>& numbers) {
  for (const std::uint64_t number : numbers)
    if (calls_.count(number)) giveUp(number, Outcome::kNop);
}

// A bulk call has one fate. What has not left must not leave any more once its time is up, for its request
// may be refused to its client: it is taken out of a call of which no byte is written, and the others go on.
// A call that has begun is given up whole with the first of its requests whose time is up: answered after one
// of them was ended, it was seen to count as no delivery for the others either, left without an end.
void Outbound::armCap(std::uint64_t number) {
  Call& call = calls_.at(number);
  const auto soonest = std::min_element(call.items.begin(), call.items.end(),
                                        [](const auto& a, const auto& b) { return a.capMs < b.capMs; });
  const double left = call.startedMs + soonest->capMs - loop_.nowMs();
  call.capTimer = loop_.after(left, [this, number] { onCap(number); });
}

void Outbound::onCap(std::uint64_t number) {
  Call& call = calls_.at(number);
  const double passed = loop_.nowMs() - call.startedMs;
  const auto split = std::stable_partition(call.items.begin(), call.items.end(),
                                           [passed](const CallItem& item) { return item.capMs > passed; });
  const bool begun = call.connection && call.connection->begun();
  if (begun || split == call.items.begin()) return giveUp(number, Outcome::kLate);
  const Outcome late = unanswered(call.connection.get(), Outcome::kLate);
  std::vector<CallOutcome> outcomes;
  for (auto item = split; item != call.items.end(); ++item) outcomes.push_back({item->id, late, false, 0});
  call.items.erase(split, call.items.end());
  if (call.connection && call.connection->open()) write(number);  // without them
  armCap(number);
  report(call, std::move(outcomes), {});
}

// It may wait for a slot, for its connection, or for the endpoint to read. A bulk call goes back whole: none
// of it has run.
void Outbound::armLeave(std::uint64_t number) {
  Call& call = calls_.at(number);
  const auto soonest =
      std::min_element(call.items.begin(), call.items.end(),
                       [](const auto& a, const auto& b) { return a.leaveByMs < b.leaveByMs; });
  if (soonest->leaveByMs == std::numeric_limits<double>::infinity()) return;
  call.leaveTimer = loop_.after(soonest->leaveByMs - loop_.nowMs(), [this, number] {
    const ClientConnection* connection = calls_.at(number).connection.get();
    if (!connection || !connection->lastByteWritten()) giveUp(number, Outcome::kNop);
  });
}

void Outbound::abandon(const std::string& id) {
  for (const auto& [number, call] : calls_) {
    const auto carries = [&id](const CallItem& item) { return item.id == id; };
    if (std::none_of(call.items.begin(), call.items.end(), carries)) continue;
    return giveUp(number, Outcome::kCancelled);
  }
}

Outbound::Call Outbound::takeOff(std::uint64_t number) {
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

void Outbound::giveUp(std::uint64_t number, Outcome outcome) {
  Call& given = calls_.at(number);
  if (given.parting) return;
  // What has come counts, though the loop has not read it.
  if (given.connection && given.connection->takeArrived()) return;
  const bool mayBeAnswered = given.connection && given.connection->open() &&
                             given.connection->lastByteWritten() && !given.connection->answerBegun();
  if (outcome != Outcome::kNop && mayBeAnswered) return part(number, outcome);
  Call call = takeOff(number);
  // An answer that has begun has something to say, though its time is up before its end.
  if (call.connection && call.connection->answerBegun())
    return reportAll(call, readSpoiltAnswer(call.connection->answerSoFar(), call.bulk), {});
  reportAll(call, {"", unanswered(call.connection.get(), outcome), false, 0}, {});
}

void Outbound::part(std::uint64_t number, Outcome outcome) {
  Call& call = calls_.at(number);
  call.parting = outcome;
  call.connection->endSending();
  loop_.cancel(call.capTimer);
  call.capTimer = loop_.after(kPartingMs, [this, number] {
    if (calls_.at(number).connection->takeArrived()) return;
    const Call parted = takeOff(number);
    const bool begun = parted.connection->answerBegun();
    const CallOutcome unheard{"", *parted.parting, false, 0};
    reportAll(parted, begun ? readSpoiltAnswer(parted.connection->answerSoFar(), parted.bulk) : unheard, {});
  });
}

void Outbound::onResult(std::uint64_t number, ClientConnection::Result result) {
  Call call = takeOff(number);
  if (result.end == ClientConnection::End::kHeldBack)
    return reportAll(call, {"", Outcome::kNop, false, 0}, {});
  if (result.end == ClientConnection::End::kSpoilt) {
    ++counters_.spoilt;
    return reportAll(call, readSpoiltAnswer(result.answer, call.bulk), {});
  }
  if (result.end != ClientConnection::End::kAnswered && call.parting)
    return reportAll(call, {"", *call.parting, false, 0}, {});
  if (result.end != ClientConnection::End::kAnswered) {
    const bool neverRan = result.end == ClientConnection::End::kNotSent;
    reportAll(call, {"", neverRan ? Outcome::kNoConn : Outcome::kReset, false, 0}, {});
    return;
  }
  if (!call.parting) idle_.keep(call.uid, call.address, std::move(call.connection));
  const Report told = readReport(result.answer, limits_.reportColumns);
  if (call.bulk && result.answer.status == 200)
    report(call, readBulkAnswer(result.answer, call.items), told);
  else
    reportAll(call, readAnswer(result.answer), told);
}

void Outbound::reportAll(const Call& call, const CallOutcome& like, const Report& told) {
  std::vector<CallOutcome> outcomes;
  for (const CallItem& item : call.items)
    outcomes.push_back({item.id, like.outcome, like.ended, like.detail});
  report(call, std::move(outcomes), told);
}

void Outbound::report(const Call& call, std::vector<CallOutcome> outcomes, const Report& told) {
  for (const CallOutcome& o : outcomes) ++counters_.outcomes.at(static_cast<std::size_t>(o.outcome));
  listener_->onOutcomes(call.uid, outcomes, told);
}

}  // namespace myrtleloft
