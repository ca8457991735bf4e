#include "journal/replay.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {
namespace {

bool isLost(const RecordedAttempt& attempt) { return attempt.attempt == RecordedAttempt::kLostAttempt; }

void addLostAttempt(PendingRequest& request) {
  std::vector<RecordedAttempt>& attempts = request.ambiguousAttempts;
  if (std::any_of(attempts.begin(), attempts.end(), isLost)) return;
  // Inserted at the front: it may be the earliest attempt, at which the idempotency window begins.
  attempts.insert(attempts.begin(),
                  {"", RecordedAttempt::kLostZone, request.acceptedWallMs, RecordedAttempt::kLostAttempt});
  // Skips the number of the lost attempt. If the next attempt got this number, a later recovery would take it
  // as proof that no attempt is missing.
  ++request.attempts;
}

void shiftTimes(PendingRequest& request, double byMs) {
  request.deadlineWallMs += byMs;
  if (request.acceptedWallMs != 0) request.acceptedWallMs += byMs;  // 0 means unknown
  for (RecordedAttempt& attempt : request.ambiguousAttempts) attempt.sentWallMs += byMs;
}

}  // namespace

void Replay::beginUnnamedSegment() {
  translation_.reset();
  shiftMs_.reset();
}

void Replay::beginNamedSegment() {
  translateFrom({});
  shiftMs_.reset();
}

void Replay::translateFrom(const NameTable& recorded) {
  if (names_ && recorded != *names_)
    translation_.emplace(recorded, *names_);
  else
    translation_.reset();
}

void Replay::apply(std::uint64_t segment, Record& record) {
  segment_ = segment;
  std::visit([this](auto& applied) { applyRecord(applied); }, record);
}

RecoveredRequest* Replay::find(const std::string& id) {
  if (RecoveredRequest* request = pending_.find(id)) return request;
  // The request was rewritten or completed later in the log, or its accepted record is lost. Only the end of
  // the replay tells which.
  withoutBody_.try_emplace(id, FinalStatus::kUndecided);
  return nullptr;
}

void Replay::applyRecord(AcceptedRecord& record) {
  if (!withoutBody_.empty()) withoutBody_.erase(record.pending.id);
  std::optional<RetryPermission> permission;
  if (translation_) permission = translation_->apply(record.pending);
  shiftTimes(record.pending, shiftMs_.value_or(0));
  RecoveredRequest& request = pending_.put(std::move(record.pending));
  request.permission = permission;
  request.timesKnown = shiftMs_.has_value();
  request.segment = segment_;
  request.corruptionsSeen = corruptionCount_;
}

void Replay::applyRecord(AttemptRecord& record) {
  RecoveredRequest* request = find(record.id);
  if (!request) return;
  PendingRequest& pending = request->pending;
  const int number = record.attempt.attempt;
  // If there is damage since the request's last record, a skipped number means that an attempt was lost
  // there, and the next number in sequence proves that none was.
  if (request->corruptionsSeen != corruptionCount_ && number > pending.attempts) addLostAttempt(pending);
  request->corruptionsSeen = corruptionCount_;
  pending.attempts = std::max(pending.attempts, number + 1);
  if (translation_) {
    record.attempt.zone = translation_->zone(record.attempt.zone);
    if (const auto permission = translation_->permission(pending.classIndex)) {
      if (!request->permission) request->permission.emplace();
      request->permission->restrictTo(*permission);
    }
  }
  record.attempt.sentWallMs += shiftMs_.value_or(0);
  request->timesKnown = request->timesKnown && shiftMs_;
  pending.ambiguousAttempts.push_back(std::move(record.attempt));
}

void Replay::applyRecord(NotExecutedRecord& record) {
  RecoveredRequest* request = find(record.id);
  if (!request) return;
  std::erase_if(request->pending.ambiguousAttempts, [&](const RecordedAttempt& attempt) {
    return !isLost(attempt) && attempt.attempt == record.attempt;
  });
}

void Replay::applyRecord(FinalStatusRecord& record) {
  RecoveredRequest* request = find(record.id);
  if (!request) {
    withoutBody_[record.id] = record.status;
    return;
  }
  request->pending.status = record.status;
  request->pending.retryAfterMs = record.retryAfterMs;
  request->pending.body.clear();
}

// Copies what identifies the request: the table still needs its id.
void Replay::rememberCompleted(const PendingRequest& request) {
  const bool mayHaveBeenExecuted =
      request.status == FinalStatus::kUndecided && !request.ambiguousAttempts.empty();
  if (!mayHaveBeenExecuted && request.status != FinalStatus::kFailed) return;
  PendingRequest& completed = completed_.emplace_back();
  completed.id = request.id;
  completed.key = request.key;
  completed.classIndex = request.classIndex;
  completed.destination = request.destination;
  completed.deadlineWallMs = request.deadlineWallMs;
  if (completed_.size() > Recovered::kMaxCompleted) completed_.pop_front();
}

void Replay::applyRecord(CompletedRecord& record) {
  if (const RecoveredRequest* request = pending_.find(record.id)) rememberCompleted(request->pending);
  pending_.erase(record.id);
  withoutBody_.erase(record.id);
}

// Already evaluated by FolderReader, which needs it to decide which segments to read.
void Replay::applyRecord(SegmentsDeletedRecord&) {}

void Replay::applyRecord(NameTableRecord& record) { translateFrom(record.names); }

void Replay::applyRecord(ClockRecord& record) {
  if (clock_) shiftMs_ = shiftMs(record.anchor, *clock_);
}

void Replay::noteCorruption() { ++corruptionCount_; }

void Replay::finish(Recovered& found) {
  if (corruptionCount_ > 0) {
    for (RecoveredRequest& request : pending_) {
      if (request.corruptionsSeen == corruptionCount_ || request.pending.status != FinalStatus::kUndecided)
        continue;
      addLostAttempt(request.pending);
      ++found.madeAmbiguous;
    }
    for (const auto& [id, status] : withoutBody_) {
      PendingRequest named;
      named.id = id;
      named.status = status == FinalStatus::kUndecided ? FinalStatus::kFailed : status;
      pending_.put(std::move(named));
      ++found.bodiesLost;
    }
  }
  withoutBody_.clear();
  found.pending = std::exchange(pending_, {});
  found.completed = std::exchange(completed_, {});
}

}  // namespace myrtleloft
