// What the copies do as time passes: shares opened, ensembles mended, ledgers taken over.
#include <algorithm>
#include <utility>

#include "copies/copies.h"
#include "copies/planted.h"

namespace myrtleloft {

std::optional<Copies::Put> Copies::take(PendingRequest request, double nowMs, CopyStep& out) {
  const auto& share = shares_[shareOf(request.id, setup_.shares)];
  if (!share) return std::nullopt;
  Case& c = cases_.at(*share);
  if (!c.ledger || c.ledger->promised() == 0) return std::nullopt;
  if (c.ledger->state().ensemble.size() < setup_.copies && !setup_.alone) return std::nullopt;
  const LedgerId id = *share;
  const auto position = put(id, AcceptedRecord{std::move(request)}, true, nowMs, out);
  return Put{id, *position};
}

std::optional<std::uint64_t> Copies::put(const LedgerId& ledger, const Record& record, bool now, double nowMs,
                                         CopyStep& out) {
  const auto at = cases_.find(ledger);
  if (at == cases_.end() || !at->second.ledger) return std::nullopt;
  const std::uint64_t position = at->second.ledger->put(record);
  if (now) {
    at->second.ledger->flush(nowMs, out);
    tellPromised(ledger, at->second, out);
    deliverOwn(nowMs, out);
  }
  return position;
}

bool Copies::mayBegin(const LedgerId& ledger, std::uint64_t position, double nowMs) const {
  const auto at = cases_.find(ledger);
  return at != cases_.end() && at->second.ledger && at->second.ledger->mayBegin(position, nowMs);
}

const LedgerState* Copies::owned(const LedgerId& ledger) const {
  const auto at = cases_.find(ledger);
  return at != cases_.end() && at->second.ledger ? &at->second.ledger->state() : nullptr;
}

std::size_t Copies::sharesOpen() const {
  return static_cast<std::size_t>(std::count_if(shares_.begin(), shares_.end(), [&](const auto& share) {
    return share && cases_.at(*share).ledger && cases_.at(*share).ledger->promised() > 0;
  }));
}

bool Copies::settled() const {
  return std::all_of(cases_.begin(), cases_.end(), [&](const auto& at) {
    const Case& c = at.second;
    if (c.stage == Stage::kVoid) return true;
    return c.stage == Stage::kOwned && !c.proposer.busy() && c.ledger->promised() > 0 &&
           c.ledger->state().ensemble.size() >= setup_.copies && c.ledger->held() >= setup_.copies;
  });
}

void Copies::tellPromised(const LedgerId& id, Case& c, CopyStep& out) {
  const std::uint64_t promised = c.ledger->promised();
  if (promised <= c.told) return;
  c.told = promised;
  out.news.push_back({CopyNewsKind::kPromised, id, c.ledger->state(), promised, 0, {}});
}

void Copies::onTick(double nowMs, CopyStep& out) {
  voter_.onTick(nowMs, out);
  std::vector<LedgerId> ids;
  for (const auto& [id, c] : cases_) ids.push_back(id);
  for (const LedgerId& id : ids) {
    Case& c = cases_.at(id);
    c.proposer.onTick(nowMs, random(), out);
    if (c.takeover) c.takeover->onTick(nowMs, out);
  }
  tickLedgers(nowMs, out);
  openShares(nowMs, out);
  takeOver(nowMs, out);
  deliverOwn(nowMs, out);
}

void Copies::tickLedgers(double nowMs, CopyStep& out) {
  // What one tick may send of tables, so that a long pause is not made up for at once.
  budget_ = std::min((nowMs - tickedMs_) * setup_.bytesPerMs + budget_, 8.0 * kFullMessage);
  tickedMs_ = nowMs;
  auto budget = static_cast<std::size_t>(std::max(0.0, budget_));
  const std::size_t before = budget;
  std::vector<std::pair<std::size_t, LedgerId>> order;  // fewest copies first
  for (const auto& [id, c] : cases_)
    if (c.ledger) order.emplace_back(c.ledger->held(), id);
  std::sort(order.begin(), order.end());
  for (const auto& [held, id] : order) {
    Case& c = cases_.at(id);
    c.ledger->want(holdersFor(id, &*c.ledger));
    c.ledger->onTick(nowMs, setup_.worthOf, budget, out);
    if (!c.proposer.busy())
      if (auto wanted = c.ledger->change(nowMs)) ask(c, c.ledger->state(), *wanted, nowMs, out);
    tellPromised(id, c, out);
  }
  budget_ -= static_cast<double>(before - budget);
}

bool Copies::fit(const RelayLife& holder) const {
  const auto at = members_.find(holder.name);
  if (at == members_.end()) return true;  // not heard of since the own start
  const CopiesMember& m = at->second;
  return m.standing != MemberState::kDead && (m.incarnation.life == 0 || m.incarnation.life == holder.life);
}

std::vector<RelayLife> Copies::holdersFor(const LedgerId& id, const Ledger* ledger) const {
  std::vector<RelayLife> kept, full;
  if (ledger)
    for (const RelayLife& h : ledger->state().ensemble)
      if (h.name != setup_.name && fit(h)) (ledger->full(h) ? full : kept).push_back(h);
  std::vector<Candidate> candidates;
  for (const auto& [name, m] : members_) {
    const RelayLife relay{name, m.incarnation.life};
    const auto in = [&](const std::vector<RelayLife>& e) {
      return std::find(e.begin(), e.end(), relay) != e.end();
    };
    if (m.standing != MemberState::kAlive || relay.life == 0 || in(kept) || in(full)) continue;
    if (ledger && ledger->full(relay)) continue;
    candidates.push_back({relay, m.building, m.room});
  }
  const std::size_t missing = setup_.copies - std::min(setup_.copies, kept.size());
  for (RelayLife& h : chooseHolders(id, setup_.building, std::move(candidates), missing))
    kept.push_back(std::move(h));
  // One that is full still has what it has: it stays until there is another.
  for (RelayLife& h : full)
    if (kept.size() < setup_.copies) kept.push_back(std::move(h));
  // Held by none it would be lost with this relay: rather wait.
  if (kept.empty() && ledger) return ledger->state().ensemble;
  return kept;
}

void Copies::openShares(double nowMs, CopyStep& out) {
  for (std::uint32_t share = 0; share < setup_.shares; ++share) {
    if (shares_[share]) continue;
    const LedgerId id{setup_.name, setup_.self, share + setup_.shares * opened_};
    LedgerState first{1, setup_.name, setup_.self, holdersFor(id, nullptr), true};
    if (first.ensemble.empty() || (first.ensemble.size() < setup_.copies && !setup_.alone)) continue;
    if (cases_.contains(id)) {
      ++opened_;  // a void one: another name
      continue;
    }
    shares_[share] = id;
    ask(begin(id, Stage::kOpening), {}, std::move(first), nowMs, out);
  }
}

bool Copies::gone(const LedgerState& state) const {
  if (state.owner == setup_.name) return state.start != setup_.self;
  const auto at = members_.find(state.owner);
  if (at == members_.end()) return false;
  const CopiesMember& m = at->second;
  return m.standing == MemberState::kDead || (m.standing == MemberState::kAlive && m.incarnation.life != 0 &&
                                              m.incarnation.life != state.start.life);
}

void Copies::takeOver(double nowMs, CopyStep& out) {
  for (const auto& [id, r] : voter_.registers()) {
    if (!gone(r.value) || !r.value.open || r.value.ensemble.empty()) {
      goneSince_.erase(id);
      continue;
    }
    if (const auto at = cases_.find(id); at != cases_.end() && at->second.stage != Stage::kVoid) continue;
    const double since = goneSince_.try_emplace(id, nowMs).first->second;
    std::vector<RelayLife> living{{setup_.name, setup_.self.life}};
    for (const auto& [name, m] : members_)
      if (m.standing == MemberState::kAlive) living.push_back({name, m.incarnation.life});
    const auto order = heirOrder(id, r.value.ensemble, std::move(living));
    const auto rank = std::find(order.begin(), order.end(), setup_.name) - order.begin();
    if (nowMs - since < static_cast<double>(rank) * setup_.heirStepMs) continue;
    goneSince_.erase(id);
    LedgerState wanted = r.value;
    ++wanted.epoch;
    wanted.owner = setup_.name;
    wanted.start = setup_.self;
    ask(begin(id, Stage::kTaking), r.value, std::move(wanted), nowMs, out);
  }
}

}  // namespace myrtleloft
