#include "tests/exchange/fake_surroundings.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "lab/module_site.h"

namespace myrtleloft::testing {
namespace {

using lab::Hub;

constexpr int kEndpoints = 4;
constexpr int kMaxCalls = 12;
constexpr int kMaxExecutions = 3;
constexpr std::size_t kMaxBulk = 10;
constexpr double kDrainMs = 2000;
constexpr double kInTransitMs = 100;
constexpr double kNotificationsApartMs = 100;

std::vector<std::string> idsOf(const lab::Message& message, bool isBulk) {
  if (!isBulk) return {message.header("x-request-id")};
  static const std::string kMark = R"("id":")";
  std::vector<std::string> ids;
  const std::string& body = message.body;
  for (std::size_t at = body.find(kMark); at != body.npos; at = body.find(kMark, at)) {
    at += kMark.size();
    ids.push_back(body.substr(at, body.find('"', at) - at));
  }
  return ids;
}

}  // namespace

Settings drawnSettings(std::uint64_t seed) {
  Settings settings = lab::moduleSettings(seed);
  settings.maxConcurrentCalls = kCallSlots;
  settings.maxPendingRequests = 60;
  settings.mayCancel = true;
  settings.kindBatchSize = {static_cast<int>(kMaxBulk), 1};
  settings.connectTimeoutMs = 1500;
  settings.overloadFactor = 2.5;
  settings.overloadWindowMs = 2000;
  return settings;
}

FakeSurroundings::FakeSurroundings(std::uint64_t seed, lab::HandClock& clock) : random(seed), clock_(clock) {
  for (int i = 0; i < kEndpoints; ++i) {
    auto& endpoint = endpoints.emplace_back(std::make_unique<FakeEndpoint>());
    endpoint->uid = "e" + std::to_string(i);
    endpoint->kind = i % 2;
    FakeEndpoint* const at = endpoint.get();
    endpoint->address =
        hub.listen({[this, at](Hub::Id from, const lab::Message& message) { onCall(*at, from, message); },
                    [this](Hub::Id from) { onClosed(from); },
                    {}});
  }
  platform = hub.listen(
      {[this](Hub::Id from, const lab::Message& message) { onNotifications(from, message); }, {}, {}});
}

void FakeSurroundings::reportBroken(const std::string& what) {
  if (brokenRule.empty()) brokenRule = what + " at " + std::to_string(clock_.nowMs) + " ms";
}

void FakeSurroundings::turn() {
  for (auto at = answers_.begin(); at != answers_.end() && at->first <= clock_.nowMs;) {
    const auto answerNow = std::move(at->second);
    at = answers_.erase(at);
    answerNow();
  }
  hub.turn(0);
}

void FakeSurroundings::onCall(FakeEndpoint& endpoint, Hub::Id from, const lab::Message& message) {
  Arrival call;
  call.connection = from;
  call.isBulk = message.start.starts_with("POST /inbox/bulk");
  call.ids = idsOf(message, call.isBulk);
  if (message.start != "POST /inbox HTTP/1.1" && !call.isBulk)
    reportBroken("an unknown call: " + message.start);
  ++calls;
  bulkCalls += call.ids.size() > 1;
  checkCall(endpoint, call);
  inFlight_.insert(from);
  if (callsInFlight() > static_cast<std::size_t>(kCallSlots))
    reportBroken("more calls in flight than call slots");
  for (const std::string& id : call.ids) onRequest(id, from);
  scheduleAnswer(endpoint, call);
}

void FakeSurroundings::checkCall(const FakeEndpoint& endpoint, const Arrival& call) {
  if (call.ids.size() > (endpoint.kind == 0 ? kMaxBulk : 1U))
    reportBroken("more requests in a call than its kind allows");
  if (endpoint.drainsMs >= 0 && clock_.nowMs > endpoint.drainsMs + kDrainMs)
    reportBroken("a call to " + endpoint.uid + ", which drains");
  if (clock_.nowMs > endpoint.retryAfterFromMs + kInTransitMs && clock_.nowMs < endpoint.retryAfterUntilMs &&
      endpoint.retryAfterFromMs > restartMs)
    reportBroken("a call to " + endpoint.uid + " before its Retry-After is over");
}

// Returns the number of connections with a call that the relay has not given up.
std::size_t FakeSurroundings::callsInFlight() {
  std::erase_if(inFlight_, [this](Hub::Id id) { return !hub.open(id) || hub.gone(id); });
  return inFlight_.size();
}

void FakeSurroundings::onRequest(const std::string& id, Hub::Id from) {
  const auto at = requests.find(id);
  if (at == requests.end()) return reportBroken("a call for " + id + ", which was not submitted");
  DrawnRequest& request = at->second;
  checkRetry(id, request);
  if (request.calls.size() >= kMaxCalls) reportBroken(id + " is called a thirteenth time");
  if (!request.notification.empty()) reportBroken(id + " is called after its notification");
  // An answer 410 from before a restart may not have been read by the process that ended.
  if (request.goneMs > restartMs) reportBroken(id + " is called after its completion");
  if (clock_.nowMs > request.deadlineMs + kInTransitMs) reportBroken(id + " is called after its deadline");
  request.calls.push_back({clock_.nowMs, from, true, true});
}

void FakeSurroundings::checkRetry(const std::string& id, const DrawnRequest& request) {
  int executions = 0;
  double firstMs = -1;
  for (const ReceivedCall& call : request.calls) {
    if (call.pending && hub.open(call.connection) && !hub.gone(call.connection))
      reportBroken(id + " is in flight twice at once");
    if (!call.mayBeExecuted) continue;
    ++executions;
    if (firstMs < 0) firstMs = call.atMs;
  }
  const ClassSettings& requestClass = classes.at(static_cast<std::size_t>(request.classIndex));
  retries += executions > 0;
  if (executions > 0 && requestClass.idempotency == Idempotency::kNonIdempotent)
    reportBroken(id + ", non-idempotent, is called after a call that may have been executed");
  if (executions > 0 && requestClass.idempotency == Idempotency::kIdempotentWithKey &&
      clock_.nowMs > firstMs + requestClass.idempotencyWindowMs)
    reportBroken(id + " is called outside its idempotency window");
  if (executions >= kMaxExecutions)
    reportBroken(id + " is called after three calls that may have been executed");
}

void FakeSurroundings::onClosed(Hub::Id from) {
  inFlight_.erase(from);
  for (auto& [id, request] : requests)
    for (ReceivedCall& call : request.calls)
      if (call.connection == from) call.pending = false;
}

void FakeSurroundings::onNotifications(Hub::Id from, const lab::Message& message) {
  std::istringstream lines(message.body);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t before = notifications;
    onNotification(line);
    if (notifications == before) return;  // the request is unknown, which has been reported
  }
  answerNotifications(from);
}

void FakeSurroundings::onNotification(const std::string& line) {
  const std::size_t at = line.find(R"("ref":")") + 7;
  const std::string id = line.substr(at, line.find('"', at) - at);
  const auto known = requests.find(id);
  if (known == requests.end()) return reportBroken("a notification of " + id + ", which was not submitted");
  DrawnRequest& request = known->second;
  const bool failed = line.find("\"dead\"") != line.npos;
  const std::string status = failed ? "dead" : "bounced";
  if (!request.notification.empty() && request.notification != status)
    reportBroken(id + " has two final statuses");
  request.notification = status;
  if (!failed && line.find("\"wait_ms\":") == line.npos)
    reportBroken(id + " is returned without a Retry-After");
  const ClassSettings& requestClass = classes.at(static_cast<std::size_t>(request.classIndex));
  const bool mayBeExecuted = std::any_of(request.calls.begin(), request.calls.end(),
                                         [](const ReceivedCall& call) { return call.mayBeExecuted; });
  if (!failed && mayBeExecuted && requestClass.idempotency == Idempotency::kNonIdempotent)
    reportBroken(id + " is returned, though it may have been executed");
  if (!request.notifiedMs.empty() && request.notifiedMs.back() > restartMs &&
      clock_.nowMs < request.notifiedMs.back() + kNotificationsApartMs)
    reportBroken("notifications of " + id + " follow each other too closely");
  request.notifiedMs.push_back(clock_.nowMs);
  // After a post that failed or was not answered, and its retries, a notification may be late.
  const bool waited = platformFailedMs_ > request.deadlineMs - kNotificationStuckMs;
  if (request.completedMs < 0) request.mayBeLate = waited;
  complete(request);
  ++notifications;
}

void FakeSurroundings::answerNotifications(Hub::Id from) {
  const int draw = below(100);
  if (draw < 25) platformFailedMs_ = clock_.nowMs;
  if (draw < 8) return;  // leaves the post unanswered
  if (draw < 14) return hub.close(from, true);
  hub.send(from,
           draw < 25 ? "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" : "HTTP/1.1 204 No Content\r\n\r\n");
}

void FakeSurroundings::complete(DrawnRequest& request) const {
  if (request.completedMs < 0) request.completedMs = clock_.nowMs;
}

}  // namespace myrtleloft::testing
