#include "tests/copies_site.h"

#include <utility>

#include "copies/planted.h"

namespace myrtleloft {

namespace {
constexpr double kSilentMs = 400;
}

void CopiesSite::start(double realMs) {
  if (setup_.self.life == 0) setup_.self.life = (std::uint64_t{world_.random()} << 32) | world_.random() | 1;
  ++setup_.self.start;
  setup_.seed = world_.random();
  std::map<LedgerId, std::vector<PendingRequest>> recovered;
  for (const auto& [id, contents] : journal_)
    for (const auto& [request, owed] : contents.requests()) recovered[id].push_back(owed);
  CopyStep step;
  copies_.emplace(setup_, folder_, std::move(recovered), clock(realMs), step);
  carryOut(realMs, step);
}

void CopiesSite::crash(bool losesFolder) {
  copies_.reset();
  items_.clear();
  ends_.clear();
  heard_.clear();
  storesLeft_.reset();
  if (!losesFolder) return;
  folder_.clear();
  journal_.clear();
  setup_.self = {};
}

void CopiesSite::carryOut(double realMs, CopyStep& step) {
  for (const CopyStore& store : step.stores) {
    if (storesLeft_ && (*storesLeft_)-- == 0) return crash(false);
    if (store.bytes.empty())
      folder_.erase(store.key);
    else
      folder_[store.key] = store.bytes;
  }
  for (CopySend& send : step.sends) world_.send(name(), std::move(send));
  for (CopyNews& news : step.news)
    if (copies_) onNews(realMs, news);
}

void CopiesSite::onNews(double realMs, CopyNews& news) {
  switch (news.kind) {
    case CopyNewsKind::kOwned:
      world_.referee->owned(news.ledger, news.state);
      break;
    case CopyNewsKind::kVoid:
      std::erase_if(items_, [&](const auto& item) { return item.second.ledger == news.ledger; });
      journal_.erase(news.ledger);
      ends_.erase(news.ledger);
      break;
    case CopyNewsKind::kTakenOver: {
      world_.referee->took(news.ledger, news.state.epoch, news.requests, true);
      std::erase_if(items_, [&](const auto& item) { return item.second.ledger == news.ledger; });
      Contents& kept = journal_[news.ledger] = {};
      for (PendingRequest& owed : news.requests) {
        kept.put(owed);
        items_[owed.id] = Item{news.ledger, Phase::kOwed, 0, news.fromMs, owed};
      }
      CopyStep step;
      copies_->adopted(news.ledger, step);
      carryOut(realMs, step);
      break;
    }
    case CopyNewsKind::kPromised: {
      for (auto& [id, item] : items_) {
        if (!(item.ledger == news.ledger) || item.phase != Phase::kTaking || item.position > news.position)
          continue;
        item.phase = Phase::kOwed;
        world_.referee->promised(news.ledger, news.state.epoch, id, once(id));
      }
      std::erase_if(ends_[news.ledger], [&](const auto& end) {
        if (end.first > news.position) return false;
        world_.referee->endedHeld(end.second);
        return true;
      });
      break;
    }
  }
}

void CopiesSite::tick(double realMs) {
  if (!up()) return;
  for (const std::string& other : setup_.others) {
    const Heard& h = heard_[other];
    const MemberState standing = h.atMs < 0                        ? MemberState::kUnknown
                                 : realMs - h.atMs > kSilentMs     ? MemberState::kDead
                                 : realMs - h.atMs > kSilentMs / 2 ? MemberState::kSuspect
                                                                   : MemberState::kAlive;
    copies_->onMember({other, standing, h.incarnation, other, 1});
  }
  CopyStep step;
  copies_->onTick(clock(realMs), step);
  carryOut(realMs, step);
  std::vector<std::string> ids;
  for (const auto& [id, item] : items_) ids.push_back(id);
  for (const std::string& id : ids) act(realMs, id);
}

void CopiesSite::deliver(double realMs, const std::string& from, FleetKind kind, const std::string& payload) {
  if (!up()) return;
  CopyStep step;
  if (!copies_->onMessage(from, kind, payload, clock(realMs), step)) world_.referee->say("refused a message");
  carryOut(realMs, step);
}

void CopiesSite::heard(double realMs, const std::string& from, Incarnation incarnation) {
  if (!up()) return;
  heard_[from] = {realMs, incarnation};
}

void CopiesSite::request(double realMs, const std::string& id) {
  if (!up()) return;
  PendingRequest owed;
  owed.id = id;
  CopyStep step;
  const auto put = copies_->take(owed, clock(realMs), step);
  if (!put) return;
  journal_[put->ledger].put(owed);
  items_[id] = Item{put->ledger, Phase::kTaking, put->position, 0, owed};
  carryOut(realMs, step);
}

std::uint64_t CopiesSite::record(double realMs, Item& item, const Record& record, bool now) {
  journal_[item.ledger].apply(record);
  CopyStep step;
  const auto position = copies_->put(item.ledger, record, now, clock(realMs), step);
  const std::uint64_t at = position.value_or(~std::uint64_t{0});
  item.position = at;
  carryOut(realMs, step);
  return at;
}

void CopiesSite::act(double realMs, const std::string& id) {
  const auto at = items_.find(id);
  if (!up() || at == items_.end()) return;
  Item& item = at->second;
  const double nowMs = clock(realMs);
  if (item.phase == Phase::kOwed && nowMs >= item.fromMs) {
    if (once(id) && !item.owed.ambiguousAttempts.empty()) {
      if (!copies_->mayBegin(item.ledger, 1, nowMs)) return;
      world_.referee->toldAsDead(copies_->owned(item.ledger)->epoch, id);
      finish(realMs, id);
      return;
    }
    item.phase = Phase::kAttempting;
    const RecordedAttempt doubt{"e", 0, realMs, item.owed.attempts++};
    item.owed.ambiguousAttempts.push_back(doubt);
    const bool waits = once(id);
    record(realMs, item, AttemptRecord{id, doubt}, waits);
    if (!up()) return;
    if (const auto again = items_.find(id); again != items_.end() && !waits) again->second.position = 1;
  } else if (item.phase == Phase::kAttempting && copies_->mayBegin(item.ledger, item.position, nowMs)) {
    item.phase = Phase::kLeaving;
    const Incarnation self = setup_.self;
    world_.later(name(), world_.random() % 8, [this, id, self]() {
      if (up() && self == setup_.self) firstByte(world_.referee->nowMs, id);
    });
  }
}

void CopiesSite::firstByte(double realMs, const std::string& id) {
  const auto at = items_.find(id);
  if (at == items_.end() || at->second.phase != Phase::kLeaving) return;
  Item& item = at->second;
  const LedgerState* state = copies_->owned(item.ledger);
  if (!state || !copies_->mayBegin(item.ledger, item.position, clock(realMs))) {
    item.phase = Phase::kAttempting;
    return;
  }
  item.phase = Phase::kCalling;
  world_.referee->begun(state->epoch, id, once(id));
  const bool ok = world_.random() % 4 != 0;
  const Incarnation self = setup_.self;
  world_.later(name(), 5 + world_.random() % 60, [this, id, ok, self]() {
    if (up() && self == setup_.self) onOutcome(world_.referee->nowMs, id, ok);
  });
}

void CopiesSite::onOutcome(double realMs, const std::string& id, bool ok) {
  const auto at = items_.find(id);
  if (at == items_.end() || at->second.phase != Phase::kCalling) return;
  if (ok) {
    world_.referee->delivered(id);
    return finish(realMs, id);
  }
  at->second.phase = Phase::kOwed;  // not known whether it ran
}

void CopiesSite::finish(double realMs, const std::string& id) {
  Item item = items_.at(id);
  const std::uint64_t at = record(realMs, item, CompletedRecord{id}, false);
  ends_[item.ledger].emplace_back(at, id);
  items_.erase(id);
}

bool CopiesSite::settled() const {
  if (!up() || !copies_->voter().votes() || copies_->sharesOpen() < setup_.shares) return false;
  return copies_->settled();
}

}  // namespace myrtleloft
