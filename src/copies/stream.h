// The replication stream of one ledger to one replica: numbers the messages, keeps them until they are
// acknowledged, and retransmits them. No I/O.
//
//   Stream stream(id, epoch, number, {"n2", life}, ids);   // `ids`: initial requests, highest priority first
//   while (budget) stream.catchUp(pendingTable, lastPosition, nowMs, step);
//   stream.append(records, lastPosition, nowMs, step);
//   if (stream.onCopyAck(ack)) ... stream.position(), stream.ackedSentMs()
//
// Initial requests are read from the table when they are sent, interleaved with newer records. Each is
// therefore sent in its current state, and records for a request not yet sent have no effect at the replica.
//
// Unacknowledged messages are limited to kMaxUnacknowledgedBytes. Beyond that the stream is broken and the
// owner must start a new one.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "copies/contents.h"
#include "copies/messages.h"
#include "copies/step.h"

namespace myrtleloft {

class Stream {
 public:
  static constexpr std::size_t kMaxUnacknowledgedBytes = 4 << 20;
  static constexpr double kRetransmitMs = 150;

  Stream(LedgerId ledger, std::uint64_t epoch, std::uint64_t number, RelayId replica,
         std::vector<std::string> ids);

  const RelayId& replica() const { return replica_; }
  // Sends one message of the initial table. Returns the size of its records in bytes.
  std::size_t catchUp(const PendingTable& pendingTable, std::uint64_t lastPosition, double nowMs,
                      ReplicationStep& out);
  bool catchingUp() const { return !tableSent_; }
  // Sends `records`. An empty list sends a heartbeat, whose acknowledgment renews the lease.
  void append(const std::vector<std::string>& records, std::uint64_t lastPosition, double nowMs,
              ReplicationStep& out);
  // Returns whether the acknowledgment changed the state of the stream.
  bool onCopyAck(const CopyAck& ack);
  void onTick(double nowMs, ReplicationStep& out);
  // The replica stores all records up to this position. 0 while its table is incomplete.
  std::uint64_t position() const { return position_; }
  // The local time at which the latest acknowledged message was first sent.
  double ackedSentMs() const { return ackedSentMs_; }
  double lastSentMs() const { return lastSentMs_; }
  bool isBroken() const { return broken_; }
  bool isFull() const { return full_; }
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    ar(replica_, epoch_, streamNumber_, nextSequence_, tableSent_, position_, ackedSentMs_, broken_, full_,
       sent_.size());
  }

 private:
  struct Sent {
    std::uint64_t sequence = 0, position = 0;
    double firstMs = 0, lastMs = 0;
    std::string payload;
  };
  void send(std::vector<std::string> records, std::uint64_t lastPosition, double nowMs, ReplicationStep& out);

  LedgerId ledger_;
  std::uint64_t epoch_, streamNumber_;
  RelayId replica_;
  std::deque<std::string> idsToCopy_;
  std::uint64_t nextSequence_ = 1;
  bool tableSent_ = false, broken_ = false, full_ = false;
  std::deque<Sent> sent_;
  std::size_t unacknowledgedBytes_ = 0;
  std::uint64_t position_ = 0;
  double ackedSentMs_ = -1e300, lastSentMs_ = -1e300;
};

}  // namespace myrtleloft
