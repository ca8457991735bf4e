// Calls of several messages at a fleet's endpoint, and connections that it ends between calls.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/fleet_endpoint.h"

namespace myrtleloft::lab {
namespace {

// Of a call that is served, what becomes of one message: one in eight each is turned away or fails.
int statusOf(const FleetRecord& call) { return call.call % 8 == 0 ? 503 : call.call % 8 == 1 ? 500 : 200; }
// While answers come twice, one call in so many is turned away: what a copy claims is not what became of it.
constexpr std::int64_t kTurnedAwayBeside = 5;
const char* stateOf(int status) { return status == 200 ? "accepted" : status == 500 ? "fault" : "deferred"; }

}  // namespace

int FleetEndpoint::statusNow(const FleetRecord& call, double waitMs) const {
  if (answersTwice && mode_ == Mode::kServes && call.call % kTurnedAwayBeside == 0) return 503;
  if (mode_ == Mode::kErrs) return 500;
  if (mode_ == Mode::kTurnsAway) return 503;
  return mode_ == Mode::kTellsWait && waitMs > 0 ? 429 : 200;
}

void FleetEndpoint::answered(const FleetRecord& call, int status, double waitMs) {
  FleetRecord answer = call;
  answer.saw = Saw::kAnswer;
  answer.status = status;
  answer.ms = status == 429 ? waitMs : 0;
  witness_.see(std::move(answer));
}

void FleetEndpoint::onBulk(const std::string& relay, Hub::Id from, const Message& m) {
  Bulk bulk;
  for (const nlohmann::json& item : nlohmann::json::parse(m.body)) {
    bulk.calls.push_back({.saw = Saw::kCall,
                          .relay = relay,
                          .id = item.at("id"),
                          .endpoint = facts_.uid,
                          .key = item.value("key", ""),
                          .call = ++witness_.lastCall_});
    witness_.sweep(bulk.calls.back().id);
    witness_.see(bulk.calls.back());
  }
  bulk.dueMs = witness_.nowMs() + serviceTimeMs(bulk.calls.front());
  bulks_[from] = std::move(bulk);
  if (mode_ != Mode::kDrops) return;
  endBulk(from);
  witness_.hub.close(from);
}

void FleetEndpoint::endBulk(Hub::Id from) {
  const auto at = bulks_.find(from);
  if (at == bulks_.end()) return;
  for (const FleetRecord& call : at->second.calls) witness_.end(call);
  bulks_.erase(at);
}

void FleetEndpoint::turnBulks(double now) {
  for (auto& [from, bulk] : bulks_)
    if (bulk.dueMs <= now && !bulk.halted && !bulk.over) bulk.over = settle(from, bulk);
  std::erase_if(bulks_, [this](const auto& at) { return at.second.over && !witness_.hub.open(at.first); });
}

bool FleetEndpoint::settle(Hub::Id from, Bulk& bulk) {
  if (witness_.hub.gone(from)) return false;  // the word of it comes
  bulk.halted = !answer(from, bulk);
  return !bulk.halted;
}

// A bulk's messages are delivered once the whole answer is written.
bool FleetEndpoint::answer(Hub::Id from, const Bulk& bulk) {
  if (mode_ == Mode::kSpoils || mode_ == Mode::kHalts) {
    witness_.hub.send(from, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n[{\"id\":\"");
    if (mode_ == Mode::kHalts) return false;
    for (const FleetRecord& call : bulk.calls) answered(call, 500, 0);
    witness_.hub.close(from);
    return true;
  }
  const double waitMs = std::max(0.0, waitUntilMs - witness_.nowMs());
  const int whole = statusNow(bulk.calls.front(), waitMs);
  nlohmann::json states = nlohmann::json::array();
  for (const FleetRecord& call : bulk.calls)
    states.push_back({{"id", call.id}, {"state", stateOf(statusOf(call))}});
  const std::string body = whole == 200 ? states.dump() : "";
  const std::string wait = whole == 429 ? "Retry-After: " + std::to_string(waitMs / 1000) + "\r\n" : "";
  const std::string text = "HTTP/1.1 " + std::to_string(whole) + " As told\r\n" + wait +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  witness_.hub.send(from, text);
  if (answersTwice) copies_.onAnswer(from, text, bulk.calls.front().call, witness_.nowMs());
  for (const FleetRecord& call : bulk.calls) answered(call, whole == 200 ? statusOf(call) : whole, waitMs);
  if (mode_ == Mode::kForgets)
    forgets_[from] = witness_.nowMs() + static_cast<double>(bulk.calls.front().call % 60);
  return true;
}

void FleetEndpoint::forgetIdle(double now) {
  for (auto at = forgets_.begin(); at != forgets_.end();) {
    if (now < at->second) {
      ++at;
      continue;
    }
    // Its relay may have given the answered call up, and its word not have come.
    if (witness_.hub.gone(at->first)) onClosed(at->first);
    answered_.erase(at->first);
    bulks_.erase(at->first);
    witness_.hub.close(at->first, at->first % 2 == 0);
    at = forgets_.erase(at);
  }
}

}  // namespace myrtleloft::lab
