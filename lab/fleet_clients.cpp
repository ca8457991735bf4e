#include "lab/fleet_clients.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace myrtleloft::lab {

void FleetClients::hand(Letter letter, const std::string& relay) {
  const double now = witness_.nowMs();
  const std::string id = "m" + std::to_string(++next_);
  if (letter.key.empty()) {
    letter.key = "key-" + id;
    letter.untilMs = now + letter.timeMs;
  }
  // The front, or the client itself, finds one that is there; where none is, it waits.
  std::size_t at =
      static_cast<std::size_t>(std::find(relays_.begin(), relays_.end(), relay) - relays_.begin());
  for (std::size_t i = 0; i < relays_.size() && !reachable(relays_[at % relays_.size()]); ++i) ++at;
  const std::string to = relays_[at % relays_.size()];
  if (!reachable(to)) return again_.push_back({now + patienceMs, std::move(letter), relay});
  ++letter.tries;
  write(std::move(letter), id, to, next_ % 10 >= reusedOfTen && !addressOf_(to).empty());
}

bool FleetClients::reachable(const std::string& relay) {
  if (!addressOf_(relay).empty()) return true;
  std::vector<Hub::Id>& resting = resting_[relay];
  std::erase_if(resting, [this](Hub::Id id) { return !witness_.hub.open(id); });
  return !resting.empty();
}

Hub::Id FleetClients::connectionTo(const std::string& relay, bool fresh, bool& reused) {
  std::vector<Hub::Id>& resting = resting_[relay];
  std::erase_if(resting, [this](Hub::Id id) { return !witness_.hub.open(id); });
  reused = !fresh && !resting.empty();
  if (reused) {
    const Hub::Id id = resting.back();
    resting.pop_back();
    return id;
  }
  return witness_.hub.connect(addressOf_(relay),
                              {[this](Hub::Id from, const Message& m) { onAnswer(from, m); },
                               [this](Hub::Id from) { onClosed(from); },
                               {}});
}

void FleetClients::write(Letter letter, const std::string& id, const std::string& relay, bool fresh) {
  const double now = witness_.nowMs(), leftMs = letter.untilMs - now;
  bool reused = false;
  const Hub::Id client = connectionTo(relay, fresh, reused);
  witness_.see({.saw = Saw::kHanded,
                .relay = relay,
                .id = id,
                .cls = letter.cls,
                .key = letter.key,
                .destination = letter.destination,
                .ms = leftMs});
  witness_.hub.send(
      client, "POST /" + letter.cls + " HTTP/1.1\r\nX-Request-ID: " + id +
                  "\r\nX-Timeout: " + std::to_string(leftMs / 1000) + "\r\nIdempotency-Key: " + letter.key +
                  "\r\nX-Addressing: dest=" + std::to_string(letter.destination) +
                  (letter.retried.empty() ? "" : "\r\nX-Retried: " + letter.retried) +
                  "\r\nContent-Length: " + std::to_string(letter.body.size()) + "\r\n\r\n" + letter.body);
  waiting_[client] = {std::move(letter), id, relay, now, reused};
}

// Closed between requests, as it may be, it was not read: the client sends it once more.
void FleetClients::onClosed(Hub::Id from) {
  const auto at = waiting_.find(from);
  if (at == waiting_.end()) return;
  if (!at->second.reused) return over(from, Saw::kCutOff, "again", 0);
  if (addressOf_(at->second.relay).empty()) return over(from, Saw::kUnread, "again", 0);
  Waiting waiting = std::move(at->second);
  waiting_.erase(at);
  witness_.see({.saw = Saw::kUnread, .relay = waiting.relay, .id = waiting.id});
  if (witness_.nowMs() < waiting.letter.untilMs)
    write(std::move(waiting.letter), waiting.id, waiting.relay, true);
}

void FleetClients::onAnswer(Hub::Id from, const Message& m) {
  closes_ = m.header("connection") == "close";
  const std::string status = m.start.substr(m.start.find(' ') + 1, 3);
  if (status == "202" || status == "200") return over(from, Saw::kTaken, "", 0);
  if (status == "429" || status == "503")
    return over(from, Saw::kRefused, "1", std::max(10.0, std::atof(m.header("retry-after").c_str()) * 1000));
  over(from, Saw::kRefused, "", 0);  // failed: nothing is owed, and it does not come again
}

void FleetClients::over(Hub::Id from, Saw saw, const std::string& retried, double afterMs) {
  const auto at = waiting_.find(from);
  if (at == waiting_.end()) return;
  Waiting waiting = std::move(at->second);
  waiting_.erase(at);
  // Whoever has given up waiting must not take the answer for the next one's.
  const bool rests =
      reusedOfTen > 0 && saw != Saw::kCutOff && saw != Saw::kUnread && saw != Saw::kLeft && !closes_;
  if (rests)
    resting_[waiting.relay].push_back(from);
  else
    witness_.hub.close(from);
  witness_.see({.saw = saw, .relay = waiting.relay, .id = waiting.id});
  const double atMs = witness_.nowMs() + afterMs;
  if (retried.empty() || waiting.letter.tries >= kMostTries || atMs >= waiting.letter.untilMs) return;
  waiting.letter.retried = retried;
  // Who got no answer goes elsewhere.
  const std::size_t next = static_cast<std::size_t>(std::find(relays_.begin(), relays_.end(), waiting.relay) -
                                                    relays_.begin() + (retried == "again" ? 1 : 0));
  again_.push_back({atMs, std::move(waiting.letter), relays_[next % relays_.size()]});
}

void FleetClients::turn() {
  const double now = witness_.nowMs();
  std::vector<Hub::Id> impatient;
  for (const auto& [client, waiting] : waiting_)
    if (now >= waiting.sinceMs + patienceMs) impatient.push_back(client);
  for (const Hub::Id client : impatient) over(client, Saw::kLeft, "again", 0);
  std::vector<Again> due;
  const auto later =
      std::partition(again_.begin(), again_.end(), [now](const Again& a) { return a.atMs <= now; });
  std::move(again_.begin(), later, std::back_inserter(due));
  again_.erase(again_.begin(), later);
  for (Again& a : due)
    if (now < a.letter.untilMs) hand(std::move(a.letter), a.relay);
}

}  // namespace myrtleloft::lab
