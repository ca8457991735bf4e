#include "tests/copies_world.h"

#include <algorithm>

namespace myrtleloft {

CopiesWorld::CopiesWorld(Plan plan, std::uint32_t seed) : plan_(plan), random_(seed) {
  for (std::size_t i = 0; i < plan.relays; ++i) names_.push_back("n" + std::to_string(i));
  for (const std::string& name : names_) {
    CopiesSetup setup;
    setup.name = setup.building = name;
    for (const std::string& other : names_)
      if (other != name) setup.others.push_back(other);
    setup.copies = plan.copies;
    setup.shares = 2;
    setup.spanMs = 500;
    setup.heirStepMs = 150;
    const double rate = 1 + (static_cast<double>(below(100)) - 50) / 50 * setup.rateShare / 2;
    sites_[name] = std::make_unique<CopiesSite>(
        std::move(setup), rate,
        CopiesSite::World{[this](const std::string& from, CopySend s) { send(from, std::move(s)); },
                          [this](const std::string& at, double inMs, std::function<void()> what) {
                            later(at, inMs, std::move(what));
                          },
                          [this] { return static_cast<std::uint32_t>(random_()); }, &referee_});
  }
}

void CopiesWorld::later(const std::string& relay, double inMs, std::function<void()> what) {
  events_.push({nowMs() + inMs, number_++, relay, std::move(what)});
}

void CopiesWorld::send(const std::string& from, CopySend send) {
  if (cut(from, send.to) || below(100) < 2) return;
  const int times = below(100) < 3 ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    // As over a link, in order; but for some that come when they like.
    double inMs = below(50) == 0 ? below(600) : -1.0;
    if (inMs < 0) {
      double& last = lastMs_[{from, send.to}];
      last = std::max(last, nowMs() + 1 + below(12));
      inMs = last - nowMs();
    }
    later(send.to, inMs,
          [this, from, send] { sites_[send.to]->deliver(nowMs(), from, send.kind, send.payload); });
  }
}

void CopiesWorld::tick(const std::string& relay) {
  CopiesSite& site = *sites_[relay];
  site.tick(nowMs());
  later(relay, 15 + below(10), [this, relay] { tick(relay); });
}

void CopiesWorld::fault() {
  if (nowMs() > plan_.faultsMs) return;
  later("", 100 + below(900), [this] { fault(); });
  const std::string one = names_[below(names_.size())], two = names_[below(names_.size())];
  CopiesSite& site = *sites_[one];
  const double spanMs = 100 + below(2000);
  switch (below(6)) {
    case 0:
      cuts_[{one, two}] = cuts_[{two, one}] = nowMs() + spanMs;
      break;
    case 1:
      cuts_[{one, two}] = nowMs() + spanMs;
      break;
    case 2:
      stalledUntil_[one] = nowMs() + spanMs;
      break;
    case 3:
      for (const std::string& other : names_) cuts_[{one, other}] = cuts_[{other, one}] = nowMs() + spanMs;
      break;
    default: {
      bool whole = true;
      for (const auto& [name, s] : sites_) whole = whole && s->settled();
      if (!site.up()) break;
      const bool losesFolder = whole && below(4) != 0;
      lostFolders_ += losesFolder ? 1 : 0;
      if (!losesFolder && below(2) == 0)
        site.crashAfter(below(6));
      else
        site.crash(losesFolder);
      break;
    }
  }
}

void CopiesWorld::run() {
  for (const std::string& name : names_) {
    sites_[name]->start(0);
    later(name, below(20), [this, name] { tick(name); });
  }
  std::function<void()> beat = [&] {
    for (const std::string& from : names_) {
      if (!sites_[from]->up() || nowMs() < stalledUntil_[from]) continue;
      for (const std::string& to : names_) {
        if (to == from || cut(from, to)) continue;
        const Incarnation self = sites_[from]->incarnation();
        later(to, 1 + below(10), [this, from, to, self] { sites_[to]->heard(nowMs(), from, self); });
      }
    }
    later("", 60, beat);
  };
  std::function<void()> restart = [&] {
    for (const std::string& name : names_)
      if (!sites_[name]->up() && (nowMs() > plan_.faultsMs || below(12) == 0)) sites_[name]->start(nowMs());
    later("", 100, restart);
  };
  std::function<void()> client = [&] {
    if (nowMs() > plan_.faultsMs) return;
    const std::string id = (below(2) ? "o" : "r") + std::to_string(requests_++);
    const std::string to = names_[below(names_.size())];
    later(to, 0, [this, to, id] { sites_[to]->request(nowMs(), id); });
    later("", 5 + below(60), client);
  };
  later("", 0, beat);
  later("", 50, restart);
  later("", 300, client);
  later("", 1500, [this] { fault(); });
  while (referee_.broken.empty() && events_.top().atMs < plan_.faultsMs + plan_.quietMs) {
    Event event = events_.top();
    events_.pop();
    referee_.nowMs = event.atMs;
    if (nowMs() > plan_.faultsMs) {
      cuts_.clear();
      stalledUntil_.clear();
    }
    if (const auto stall = stalledUntil_.find(event.relay);
        stall != stalledUntil_.end() && nowMs() < stall->second) {
      event.atMs = stall->second;  // in the order in which they came
      events_.push(std::move(event));
      continue;
    }
    event.what();
  }
  if (referee_.broken.empty()) referee_.close();
}

}  // namespace myrtleloft
