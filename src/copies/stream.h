// The records of one ledger on their way to one holder: numbered, kept until they are acknowledged, sent
// again. No I/O.
//
//   Stream stream(id, epoch, number, {"n2", life}, ids);   // `ids`: what it begins with, most worth first
//   while (room) stream.catchUp(contents, written, nowMs, step);
//   stream.add(records, written, nowMs, step);
//   if (stream.onHeld(held)) ... stream.position(), stream.ackedSentMs()
//
// What it begins with is read from the table when its turn comes, between newer records. So each part tells a
// request as it stands by then, and records of one that is still to come change nothing at the holder.
//
// Bounded by kMostUnacknowledged bytes; beyond that it is `broken`, and another must begin.
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
  static constexpr std::size_t kMostUnacknowledged = 4 << 20;
  static constexpr double kSendAgainMs = 150;

  Stream(LedgerId ledger, std::uint64_t epoch, std::uint64_t number, RelayLife holder,
         std::vector<std::string> ids);

  const RelayLife& holder() const { return holder_; }
  // One message of what it begins with; the bytes of records in it.
  std::size_t catchUp(const Contents& contents, std::uint64_t written, double nowMs, CopyStep& out);
  bool catchingUp() const { return !wholeSent_; }
  // Without records: a question whether all is held still, at this moment.
  void add(const std::vector<std::string>& records, std::uint64_t written, double nowMs, CopyStep& out);
  // Whether it told anything new.
  bool onHeld(const HeldMessage& held);
  void onTick(double nowMs, CopyStep& out);
  // The holder has all up to there. 0: the table is not whole yet.
  std::uint64_t position() const { return position_; }
  // When the latest message that it acknowledged was first sent, by the own clock.
  double ackedSentMs() const { return ackedSentMs_; }
  double lastSentMs() const { return lastSentMs_; }
  bool broken() const { return broken_; }
  bool full() const { return full_; }
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    ar(holder_, epoch_, number_, next_, wholeSent_, position_, ackedSentMs_, broken_, full_, sent_.size());
  }

 private:
  struct Sent {
    std::uint64_t sequence = 0, position = 0;
    double firstMs = 0, lastMs = 0;
    std::string payload;
  };
  void send(std::vector<std::string> records, std::uint64_t written, double nowMs, CopyStep& out);

  LedgerId ledger_;
  std::uint64_t epoch_, number_;
  RelayLife holder_;
  std::deque<std::string> ids_;
  std::uint64_t next_ = 1;
  bool wholeSent_ = false, broken_ = false, full_ = false;
  std::deque<Sent> sent_;
  std::size_t bytes_ = 0;
  std::uint64_t position_ = 0;
  double ackedSentMs_ = -1e300, lastSentMs_ = -1e300;
};

}  // namespace myrtleloft
