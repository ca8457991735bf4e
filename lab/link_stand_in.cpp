#include "lab/link_stand_in.h"

#include <algorithm>
#include <utility>

#include "lab/stand_ins.h"

namespace myrtleloft::lab {

LinkStandIn::LinkStandIn(Hub& hub, std::string target, std::size_t mostHeld)
    : hub_(hub), target_(std::move(target)), mostHeld_(mostHeld), passedMs_(steadyMs()) {
  address_ = hub.listen({{},
                         [this](Hub::Id id) { ended(id); },
                         [this](Hub::Id id, std::string& in) { take(id, std::exchange(in, "")); },
                         [this](Hub::Id id) { open(id); }});
}

void LinkStandIn::open(Hub::Id near) {
  Pair& pair = pairs_.emplace_back();
  const Hub::Id far =
      hub_.connect(target_, {{},
                             [this](Hub::Id id) { ended(id); },
                             [this](Hub::Id id, std::string& in) { take(id, std::exchange(in, "")); }});
  pair.lanes[0].from = pair.lanes[1].to = near;
  pair.lanes[0].to = pair.lanes[1].from = far;
  for (std::size_t way = 0; way < 2; ++way)
    pair.lanes[way].repeatAt = std::exchange(faults_[way].repeatAfter, {});
}

void LinkStandIn::take(Hub::Id from, std::string bytes) {
  for (Pair& pair : pairs_)
    for (std::size_t way = 0; way < 2; ++way) {
      Lane& lane = pair.lanes[way];
      if (lane.from != from || pair.over) continue;
      Faults& faults = faults_[way];
      lane.recorded.append(bytes, 0, kMostRecorded - std::min(kMostRecorded, lane.recorded.size()));
      if (faults.drops) {
        lane.lost = true;
        return;
      }
      const auto due = [&bytes](std::optional<std::size_t>& after) {
        const std::optional<std::size_t> at =
            after && *after < bytes.size() ? std::exchange(after, {}) : std::nullopt;
        if (after) *after -= bytes.size();
        return at;
      };
      if (const auto at = due(faults.spoilAfter)) bytes[*at] = static_cast<char>(bytes[*at] ^ 0x10);
      if (const auto at = due(faults.resetAfter)) {
        hub_.send(lane.to, bytes.substr(0, *at));
        return finish(pair, true);
      }
      const double dueMs = steadyMs() + faults.delayMs;
      if (lane.repeatAt && *lane.repeatAt <= lane.own + bytes.size()) {
        const std::size_t before = *lane.repeatAt - lane.own;
        queue(lane, bytes.substr(0, before), dueMs);
        queue(lane, earlier_[way], dueMs);
        bytes.erase(0, before);
        lane.own += before;
        lane.repeatAt.reset();
      }
      lane.own += bytes.size();
      queue(lane, std::move(bytes), dueMs);
      return pass(pair, way);
    }
}

void LinkStandIn::queue(Lane& lane, std::string bytes, double dueMs) {
  lane.waitingBytes += bytes.size();
  if (!bytes.empty()) lane.waiting.push_back({dueMs, std::move(bytes)});
  if (lane.waitingBytes >= mostHeld_) hub_.pause(lane.from, true);
}

void LinkStandIn::pass(Pair& pair, std::size_t way) {
  Lane& lane = pair.lanes[way];
  const Faults& faults = faults_[way];
  if (faults.holds) return;
  while (!lane.waiting.empty() && lane.waiting.front().dueMs <= steadyMs() &&
         hub_.queued(lane.to) < mostHeld_) {
    std::string& bytes = lane.waiting.front().bytes;
    std::size_t count = bytes.size();
    if (faults.bytesPerS > 0) count = std::min(count, static_cast<std::size_t>(allowance_[way]));
    if (count == 0) return;
    hub_.send(lane.to, bytes.substr(0, count));
    allowance_[way] -= faults.bytesPerS > 0 ? static_cast<double>(count) : 0;
    lane.waitingBytes -= count;
    bytes.erase(0, count);
    if (bytes.empty()) lane.waiting.pop_front();
  }
  if (lane.waitingBytes < mostHeld_ / 2 + 1) hub_.pause(lane.from, false);
  if (lane.ended && lane.waiting.empty() && hub_.queued(lane.to) == 0) finish(pair, false);
}

void LinkStandIn::ended(Hub::Id id) {
  for (Pair& pair : pairs_)
    for (Lane& lane : pair.lanes)
      if (lane.from == id) lane.ended = true;
}

void LinkStandIn::finish(Pair& pair, bool reset) {
  if (std::exchange(pair.over, true)) return;
  for (std::size_t way = 0; way < 2; ++way) {
    hub_.close(pair.lanes[way].from, reset);
    earlier_[way] = std::exchange(pair.lanes[way].recorded, "");
  }
}

void LinkStandIn::heal() {
  faults_ = {};
  for (Pair& pair : pairs_)
    if (pair.lanes[0].lost || pair.lanes[1].lost) finish(pair, true);
  turn();
}

void LinkStandIn::turn() {
  const double nowMs = steadyMs(), spentMs = nowMs - std::exchange(passedMs_, nowMs);
  for (std::size_t way = 0; way < 2; ++way) {
    const double perS = faults_[way].bytesPerS;
    // What was not used is kept for a tenth of a second.
    allowance_[way] = std::min(allowance_[way] + perS * spentMs / 1000, std::max(1.0, perS / 10));
    for (Pair& pair : pairs_)
      if (!pair.over) pass(pair, way);
  }
  std::erase_if(pairs_, [](const Pair& pair) { return pair.over; });
}

std::size_t LinkStandIn::held() const {
  std::size_t sum = 0;
  for (const Pair& pair : pairs_)
    for (const Lane& lane : pair.lanes) sum += lane.waitingBytes;
  return sum;
}

}  // namespace myrtleloft::lab
