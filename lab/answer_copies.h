// Second copies of answers: what a peer sends, unasked, that answers a call twice on a connection that stays
// open. The same numbers give the same copies.
//
//   AnswerCopies copies(hub);
//   copies.onCall(from, nowMs);                        // a call has come on that connection
//   hub.send(from, answer);
//   copies.onAnswer(from, answer, callNumber, nowMs);  // one in kAnsweredTwice comes again
//   copies.turn(nowMs);                                // sends what is due; to be called often
//
// One thread; must outlive the hub's last turn. Cost of a turn: O(copies that wait).
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>

#include "lab/hub.h"

namespace myrtleloft::lab {

class AnswerCopies {
 public:
  static constexpr std::int64_t kAnsweredTwice = 3;  // one answer in so many comes again

  explicit AnswerCopies(Hub& hub) : hub_(hub) {}

  // A call's last byte has come: copies that wait for the connection's next call are due soon.
  void onCall(Hub::Id from, double nowMs);
  // An answer was written. `number` decides whether it comes again, in which form, and when.
  void onAnswer(Hub::Id to, const std::string& answer, std::int64_t number, double nowMs);
  // Sends what is due; forgets copies for connections that have ended.
  void turn(double nowMs);
  // Copies written to connections that were open.
  std::uint64_t sent() const { return sent_; }

 private:
  struct Copy {
    std::string bytes;
    double afterMs = 0;  // behind the call that it waits for
    double dueMs = std::numeric_limits<double>::infinity();
  };

  Hub& hub_;
  std::multimap<Hub::Id, Copy> waiting_;  // by connection
  std::uint64_t sent_ = 0;
};

}  // namespace myrtleloft::lab
