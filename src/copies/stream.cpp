#include "copies/stream.h"

#include <utility>

namespace myrtleloft {

Stream::Stream(LedgerId ledger, std::uint64_t epoch, std::uint64_t number, RelayId replica,
               std::vector<std::string> ids)
    : ledger_(std::move(ledger)),
      epoch_(epoch),
      streamNumber_(number),
      replica_(std::move(replica)),
      idsToCopy_(std::make_move_iterator(ids.begin()), std::make_move_iterator(ids.end())) {}

std::size_t Stream::catchUp(const PendingTable& pendingTable, std::uint64_t lastPosition, double nowMs,
                            ReplicationStep& out) {
  std::vector<std::string> records;
  std::size_t size = 0;
  for (; !idsToCopy_.empty() && size < kMessageBytes; idsToCopy_.pop_front())
    if (const PendingRequest* pendingRequest = pendingTable.find(idsToCopy_.front())) {
      encode(*pendingRequest, records.emplace_back());
      size += records.back().size();
    }
  tableSent_ = idsToCopy_.empty();
  send(std::move(records), lastPosition, nowMs, out);
  return size;
}

void Stream::append(const std::vector<std::string>& records, std::uint64_t lastPosition, double nowMs,
                    ReplicationStep& out) {
  if (nextSequence_ == 1) return;  // these records are part of the initial table, which has not been sent yet
  std::vector<std::string> batch;
  std::size_t size = 0;
  for (const std::string& record : records) {
    if (size > 0 && size + record.size() > kMessageBytes) {
      send(std::exchange(batch, {}), 0, nowMs, out);
      size = 0;
    }
    size += batch.emplace_back(record).size();
  }
  send(std::move(batch), lastPosition, nowMs, out);
}

void Stream::send(std::vector<std::string> records, std::uint64_t lastPosition, double nowMs,
                  ReplicationStep& out) {
  if (broken_) return;
  CopyRequest copy{ledger_, epoch_, streamNumber_, nextSequence_++, tableSent_, false, std::move(records)};
  Sent& sent =
      sent_.emplace_back(Sent{copy.sequence, tableSent_ ? lastPosition : 0, nowMs, nowMs, encode(copy)});
  unacknowledgedBytes_ += sent.payload.size();
  lastSentMs_ = nowMs;
  if (unacknowledgedBytes_ > kMaxUnacknowledgedBytes) {
    broken_ = true;
    return;
  }
  out.sends.push_back({replica_.name, FleetKind::kCopy, sent.payload});
}

bool Stream::onCopyAck(const CopyAck& ack) {
  if (ack.epoch != epoch_ || ack.stream != streamNumber_ || ack.life != replica_.life) return false;
  if (ack.outcome == CopyOutcome::kUnknown) return std::exchange(broken_, true) == false;
  full_ = ack.outcome == CopyOutcome::kFull;
  if (ack.sequence >= nextSequence_) return false;
  bool progressed = false;
  for (; !sent_.empty() && sent_.front().sequence <= ack.sequence; sent_.pop_front()) {
    if (sent_.front().position > position_) position_ = sent_.front().position;
    ackedSentMs_ = sent_.front().firstMs;
    unacknowledgedBytes_ -= sent_.front().payload.size();
    progressed = true;
  }
  return progressed;
}

void Stream::onTick(double nowMs, ReplicationStep& out) {
  if (broken_ || sent_.empty() || nowMs - sent_.front().lastMs < kRetransmitMs) return;
  std::size_t size = 0;
  for (Sent& sent : sent_) {
    if (size > kMessageBytes) break;
    size += sent.payload.size();
    sent.lastMs = nowMs;
    out.sends.push_back({replica_.name, FleetKind::kCopy, sent.payload});
  }
}

}  // namespace myrtleloft
