#include "lab/rude_clients.h"

#include <functional>
#include <utility>

namespace myrtleloft::lab {

RudeClients::RudeClients(FleetWitness& witness, std::string relay)
    : witness_(witness), relay_(std::move(relay)), random_(std::hash<std::string>()(relay_)) {}

void RudeClients::turn(const std::string& address) {
  const double now = witness_.nowMs();
  if (rate_ == 0 || address.empty() || now < nextMs_) return;
  nextMs_ = now + kEveryMs;
  if (random_() % 100 < rate_) come(address, static_cast<Manner>(random_() % 5));
}

std::string RudeClients::request(const std::string& id) {
  witness_.see({.saw = Saw::kHanded,
                .relay = relay_,
                .id = id,
                .cls = "status-update",
                .key = "key-" + id,
                .destination = kDestination,
                .ms = kTimeS * 1000});
  return "POST /status-update HTTP/1.1\r\nX-Request-ID: " + id + "\r\nX-Timeout: " + std::to_string(kTimeS) +
         "\r\nIdempotency-Key: key-" + id + "\r\nX-Addressing: dest=" + std::to_string(kDestination) +
         "\r\nContent-Length: 5\r\n\r\nhello";
}

void RudeClients::come(const std::string& address, Manner manner) {
  const Hub::Id client =
      witness_.hub.connect(address, {[this](Hub::Id from, const Message& m) { onMessage(from, m); },
                                     [this](Hub::Id from) { onClosed(from); },
                                     {}});
  const std::string id = "rude-" + relay_ + "-" + std::to_string(++last_);
  Open& open = open_[client];
  switch (manner) {
    case Manner::kHalf: {
      open.half = id;
      witness_.see({.saw = Saw::kBegun, .relay = relay_, .id = id});
      const std::string whole =
          "POST /status-update HTTP/1.1\r\nX-Request-ID: " + id + "\r\nContent-Length: 5\r\n\r\nhello";
      return witness_.hub.send(client, whole.substr(0, 1 + random_() % (whole.size() - 1)));
    }
    case Manner::kGone:
      witness_.hub.send(client, request(id));
      witness_.see({.saw = Saw::kLeft, .relay = relay_, .id = id});
      open_.erase(client);
      return witness_.hub.close(client, random_() % 2 == 0);
    case Manner::kGarbage:
      open.half = id;
      witness_.see({.saw = Saw::kBegun, .relay = relay_, .id = id});
      return witness_.hub.send(client, "\x16\x03\x01 hello\r\n\r\n");
    case Manner::kPipeline: {
      std::string all;
      for (int i = 0; i < 3; ++i) {
        open.waiting.push_back(id + "-" + std::to_string(i));
        all += request(open.waiting.back());
      }
      return witness_.hub.send(client, all);
    }
    case Manner::kSilent:
      return;
  }
}

void RudeClients::onMessage(Hub::Id from, const Message& message) {
  const auto at = open_.find(from);
  if (at == open_.end()) return;
  Open& open = at->second;
  rid(open);
  open.half.clear();
  if (open.waiting.empty()) return;
  const std::string status = message.start.substr(message.start.find(' ') + 1, 3);
  const bool taken = status == "202" || status == "200";
  witness_.see({.saw = taken ? Saw::kTaken : Saw::kRefused, .relay = relay_, .id = open.waiting.front()});
  open.waiting.erase(open.waiting.begin());
  open.answered = true;
  if (!open.waiting.empty()) return;
  open_.erase(at);
  witness_.hub.close(from);
}

void RudeClients::onClosed(Hub::Id from) {
  const auto at = open_.find(from);
  if (at == open_.end()) return;
  const Open open = std::move(at->second);
  open_.erase(at);
  rid(open);
  for (std::size_t i = 0; i < open.waiting.size(); ++i) {
    // The first on a new connection was sent alone; those behind an answer may not have been read.
    const bool first = i == 0 && !open.answered;
    witness_.see({.saw = first ? Saw::kCutOff : Saw::kUnread, .relay = relay_, .id = open.waiting[i]});
  }
}

void RudeClients::rid(const Open& open) {
  if (!open.half.empty()) witness_.see({.saw = Saw::kRid, .relay = relay_, .id = open.half});
}

}  // namespace myrtleloft::lab
