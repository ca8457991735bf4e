#include "lab/drawn_fleet.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace myrtleloft::lab {

namespace {
std::pair<int, int> pairOf(int a, int b) { return {std::min(a, b), std::max(a, b)}; }
}  // namespace

bool FleetPort::send(const std::string& peer, FleetKind kind, std::string payload) {
  const auto to = fleet_->byName_.find(peer);
  return to != fleet_->byName_.end() && fleet_->send(index_, to->second, kind, std::move(payload));
}

bool FleetPort::up(const std::string& peer) const {
  const auto to = fleet_->byName_.find(peer);
  return to != fleet_->byName_.end() &&
         fleet_->host(index_).linkTo[static_cast<std::size_t>(to->second)] != 0;
}

std::size_t FleetPort::room(const std::string& peer) const {
  return up(peer) ? fleet_->traits_.roomBytes : 0;
}

double FleetPort::nowMs() const { return fleet_->nowMs_; }

std::vector<std::string> FleetPort::peers() const {
  std::vector<std::string> names;
  for (const auto& [name, index] : fleet_->byName_) {
    if (index != index_) names.push_back(name);
  }
  return names;
}

// From the engine's bits alone: a library's distributions may differ from machine to machine.
double DrawnFleet::drawn(double low, double high) {
  return low + (high - low) * static_cast<double>(random_() >> 11) * 0x1p-53;
}

int DrawnFleet::add(const std::string& name, const std::string& building, Maker maker) {
  const int index = size();
  if (!byName_.emplace(name, index).second) throw std::invalid_argument("twice in the fleet: " + name);
  Host& host = hosts_.emplace_back();
  host.port = std::make_unique<FleetPort>();
  host.port->fleet_ = this;
  host.port->index_ = index;
  host.port->self_ = {"drawn", name, building, {random_() | 1, 0}};
  host.maker = std::move(maker);
  for (Host& each : hosts_) {
    each.linkTo.resize(hosts_.size());
    each.quietUntilMs.resize(hosts_.size());
  }
  return index;
}

void DrawnFleet::push(Event event) {
  event.order = ++order_;
  events_.push(std::move(event));
}

void DrawnFleet::start(int index) {
  Host& h = host(index);
  if (h.node) throw std::logic_error("started twice: " + h.port->self_.name);
  h.process = ++processes_;
  ++h.port->self_.incarnation.start;
  h.port->seed_ = random_();
  h.stalledUntilMs = nowMs_;
  h.node = h.maker(*h.port);
  setTimer(index);
  for (int peer = 0; peer < size(); ++peer) {
    if (peer != index && host(peer).node) connectSoon(index, peer);
  }
}

void DrawnFleet::crash(int index, Folder folder, bool told) {
  Host& h = host(index);
  h.node.reset();
  h.process = 0;
  std::fill(h.linkTo.begin(), h.linkTo.end(), 0);
  if (folder == Folder::kLost) h.port->self_.incarnation = {random_() | 1, 0};
  for (int peer = 0; peer < size(); ++peer) {
    const auto link = pairs_.find(pairOf(index, peer));
    if (link == pairs_.end()) continue;
    const double inMs = told ? drawn(traits_.fastestMs, traits_.slowestMs) : traits_.dropAfterMs;
    // Behind what is still under way from it.
    const double atMs = std::max(nowMs_ + inMs, h.quietUntilMs[static_cast<std::size_t>(peer)]);
    push({atMs, 0, Event::Kind::kDown, peer, index, host(peer).process, link->second, {}, {}, {}});
    pairs_.erase(link);
  }
}

void DrawnFleet::stall(int index, double forMs) {
  host(index).stalledUntilMs = std::max(host(index).stalledUntilMs, nowMs_ + forMs);
}

void DrawnFleet::cut(int from, int to) {
  const auto [at, fresh] = cuts_.emplace(std::pair(from, to), order_ + 1);
  if (!fresh) return;
  push({nowMs_ + traits_.dropAfterMs, 0, Event::Kind::kDrop, from, to, 0, at->second, {}, {}, {}});
}

void DrawnFleet::uncut(int from, int to) {
  if (cuts_.erase({from, to}) > 0) connectSoon(from, to);
}

bool DrawnFleet::send(int from, int to, FleetKind kind, std::string payload) {
  Host& h = host(from);
  const auto peer = static_cast<std::size_t>(to);
  const std::uint64_t link = h.linkTo[peer];
  if (link == 0) return false;
  ++h.sent.messages;
  h.sent.bytes += payload.size();
  double takesMs = drawn(traits_.fastestMs, traits_.slowestMs);
  const bool lost = drawn(0, 1) < traits_.loss;
  if (drawn(0, 1) < traits_.hiccupOdds) takesMs += traits_.hiccupMs;
  if (lost || isCut(from, to)) return true;
  const double atMs = h.quietUntilMs[peer] = std::max(h.quietUntilMs[peer], nowMs_ + takesMs);
  push({atMs, 0, Event::Kind::kMessage, to, from, host(to).process, link, kind, std::move(payload), {}});
  return true;
}

void DrawnFleet::connectSoon(int a, int b) {
  push({nowMs_ + drawn(0, traits_.connectMs), 0, Event::Kind::kConnect, a, b, 0, 0, {}, {}, {}});
}

void DrawnFleet::connect(int a, int b) {
  if (!host(a).node || !host(b).node || isCut(a, b) || isCut(b, a) || pairs_.contains(pairOf(a, b))) return;
  const std::uint64_t link = pairs_[pairOf(a, b)] = ++links_;
  push({nowMs_, 0, Event::Kind::kUp, a, b, host(a).process, link, {}, {}, self(b)});
  push({nowMs_, 0, Event::Kind::kUp, b, a, host(b).process, link, {}, {}, self(a)});
}

void DrawnFleet::drop(int a, int b, std::uint64_t link, double inMs) {
  push({nowMs_ + inMs, 0, Event::Kind::kDown, a, b, host(a).process, link, {}, {}, {}});
  push({nowMs_ + inMs, 0, Event::Kind::kDown, b, a, host(b).process, link, {}, {}, {}});
  pairs_.erase(pairOf(a, b));
}

void DrawnFleet::runUntil(double ms) {
  while (!events_.empty() && events_.top().atMs <= ms) {
    Event event = events_.top();
    events_.pop();
    nowMs_ = std::max(nowMs_, event.atMs);
    play(std::move(event));
  }
  nowMs_ = std::max(nowMs_, ms);
}

void DrawnFleet::play(Event event) {
  if (event.kind == Event::Kind::kConnect) return connect(event.node, event.peer);
  if (event.kind == Event::Kind::kDrop) {
    const auto cut = cuts_.find({event.node, event.peer});
    const auto link = pairs_.find(pairOf(event.node, event.peer));
    if (cut == cuts_.end() || cut->second != event.link || link == pairs_.end()) return;
    return drop(event.node, event.peer, link->second, 0);
  }
  Host& h = host(event.node);
  if (!h.node || h.process != event.process) return;
  if (nowMs_ < h.stalledUntilMs) {
    event.atMs = h.stalledUntilMs;
    return push(std::move(event));
  }
  playAt(h, event);
  setTimer(event.node);
}

void DrawnFleet::playAt(Host& h, const Event& event) {
  const std::string& peer = self(event.peer).name;
  std::uint64_t& link = h.linkTo[static_cast<std::size_t>(event.peer)];
  switch (event.kind) {
    case Event::Kind::kTimer:
      if (event.link == h.timer) {
        h.timerMs = 0;
        h.node->onTimer();
      }
      break;
    case Event::Kind::kUp:
      if (link != 0) h.node->onPeerDown(peer);
      link = event.link;
      h.node->onPeerUp(event.introduction);
      break;
    case Event::Kind::kDown:
      if (link != event.link) break;
      link = 0;
      h.node->onPeerDown(peer);
      connectSoon(event.node, event.peer);
      break;
    default:
      if (link == event.link && !h.node->onPeerMessage(peer, event.message, event.payload)) {
        throw std::logic_error("a payload that is none, from " + peer);
      }
  }
}

void DrawnFleet::setTimer(int index) {
  Host& h = host(index);
  const double atMs = std::max(nowMs_, h.node->nextMs());
  if (atMs == h.timerMs) return;
  h.timerMs = atMs;
  push({atMs, 0, Event::Kind::kTimer, index, index, h.process, ++h.timer, {}, {}, {}});
}

}  // namespace myrtleloft::lab
