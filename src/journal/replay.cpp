// What follows from records, one after the other: what is owed, and what damage puts in doubt.
#include <algorithm>
#include <utility>

#include "journal/recovery.h"

namespace myrtleloft {
namespace {

bool lost(const Doubt& doubt) { return doubt.attempt == Doubt::kLostAttempt; }

void putInDoubt(OwedRequest& owed) {
  if (std::any_of(owed.doubts.begin(), owed.doubts.end(), lost)) return;
  // In front: it may be the earliest, and the window of a keyed request runs from the first.
  owed.doubts.insert(owed.doubts.begin(), {"", Doubt::kLostZone, owed.takenWallMs, Doubt::kLostAttempt});
  // Its number is used up: were it given again, the next reading would take it for proof that none is
  // missing.
  ++owed.attempts;
}

void shiftTimes(OwedRequest& owed, double byMs) {
  owed.notAfterWallMs += byMs;
  if (owed.takenWallMs != 0) owed.takenWallMs += byMs;  // 0: not known
  for (Doubt& doubt : owed.doubts) doubt.sentWallMs += byMs;
}

}  // namespace

void Replay::means(const Meanings& recorded) {
  if (now_ && recorded != *now_)
    renaming_.emplace(recorded, *now_);
  else
    renaming_.reset();
}

void Replay::apply(std::uint64_t segment, Record& record) {
  segment_ = segment;
  std::visit([this](auto& r) { on(r); }, record);
}

RecoveredRequest* Replay::known(const std::string& id) {
  if (RecoveredRequest* request = owed_.find(id)) return request;
  // Carried over behind this record, ended behind it, or its *taken* is lost: only the end tells which.
  nameless_.try_emplace(id, Verdict::kNone);
  return nullptr;
}

void Replay::on(TakenRecord& r) {
  if (!nameless_.empty()) nameless_.erase(r.owed.id);
  std::optional<Allowed> allowed;
  if (renaming_) allowed = renaming_->apply(r.owed);
  shiftTimes(r.owed, shiftMs_.value_or(0));
  RecoveredRequest& request = owed_.put(std::move(r.owed));
  request.allowed = allowed;
  request.timesKnown = shiftMs_.has_value();
  request.segment = segment_;
  request.holesKnown = holes_;
}

void Replay::on(AttemptRecord& r) {
  RecoveredRequest* request = known(r.id);
  if (!request) return;
  OwedRequest& owed = request->owed;
  const int number = r.doubt.attempt;
  // With damage since its last record, a number left out is an attempt that stood there; a number that
  // follows proves that there was none.
  if (request->holesKnown != holes_ && number > owed.attempts) putInDoubt(owed);
  request->holesKnown = holes_;
  owed.attempts = std::max(owed.attempts, number + 1);
  if (renaming_) {
    r.doubt.zone = renaming_->zone(r.doubt.zone);
    if (const auto allowed = renaming_->allowed(owed.cls)) {
      if (!request->allowed) request->allowed.emplace();
      request->allowed->narrow(*allowed);
    }
  }
  r.doubt.sentWallMs += shiftMs_.value_or(0);
  request->timesKnown = request->timesKnown && shiftMs_;
  owed.doubts.push_back(std::move(r.doubt));
}

void Replay::on(HarmlessRecord& r) {
  if (RecoveredRequest* request = known(r.id))
    std::erase_if(request->owed.doubts, [&](const Doubt& d) { return !lost(d) && d.attempt == r.attempt; });
}

void Replay::on(VerdictRecord& r) {
  RecoveredRequest* request = known(r.id);
  if (!request) {
    nameless_[r.id] = r.verdict;
    return;
  }
  request->owed.verdict = r.verdict;
  request->owed.waitMs = r.waitMs;
  request->owed.body.clear();
}

void Replay::on(EndedRecord& r) {
  owed_.erase(r.id);
  nameless_.erase(r.id);
}

void Replay::on(ReleasedRecord&) {}  // read beforehand, by whoever asks which segments count

void Replay::on(MeaningsRecord& r) { means(r.meanings); }

void Replay::on(ClockRecord& r) {
  if (clock_) shiftMs_ = shiftMs(r.anchor, *clock_);
}

void Replay::hole() { ++holes_; }

void Replay::finish(Recovered& found) {
  if (holes_ > 0) {
    for (RecoveredRequest& request : owed_) {
      if (request.holesKnown == holes_ || request.owed.verdict != Verdict::kNone) continue;
      putInDoubt(request.owed);
      ++found.doubted;
    }
    for (const auto& [id, verdict] : nameless_) {
      OwedRequest named;
      named.id = id;
      named.verdict = verdict == Verdict::kNone ? Verdict::kDead : verdict;
      owed_.put(std::move(named));
      ++found.bodiesLost;
    }
  }
  nameless_.clear();
  found.owed = std::exchange(owed_, {});
}

}  // namespace myrtleloft
