// Remembers how recently completed requests ended, until their deadlines. A client that repeats the id of
// such a request gets the same answer again, and no second execution is started.
//
//   completed.add(pending, CompletedRequests::Ending::kDelivered, deadlineMs, nowMs);
//   if (const std::optional<Answer> answer = completed.answerTo(request, nowMs)) return callback(*answer);
//
// Ids and contents are stored as hashes with a random seed, so that a client cannot construct another id with
// the same hash. At the limit the request that was completed first is forgotten. Single-threaded; amortized
// O(1).
#pragma once

#include <tsl/robin_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "exchange/request.h"
#include "journal/records.h"

namespace myrtleloft {

class CompletedRequests {
 public:
  static constexpr std::size_t kMaxRequests = 8192;

  enum class Ending : std::uint8_t {
    kDelivered,
    kFailed,  // it may have been executed
  };

  CompletedRequests();

  // `deadlineMs` and `nowMs` are on the loop's clock.
  void add(const PendingRequest& request, Ending ending, double deadlineMs, double nowMs);
  // Returns the answer to a request that repeats a remembered id, std::nullopt for any other. A different
  // request under a remembered id is malformed.
  std::optional<Answer> answerTo(const IncomingRequest& request, double nowMs) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct IdHash {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool operator==(const IdHash&) const = default;
  };
  struct LowBits {
    std::size_t operator()(const IdHash& hash) const { return static_cast<std::size_t>(hash.low); }
  };
  struct Entry {
    std::uint64_t content = 0;  // hash of class, destination and key
    std::uint64_t number = 0;   // tells it from a later entry of the same id
    double deadlineMs = 0;
    Ending ending = Ending::kDelivered;
  };
  struct Added {
    IdHash id;
    std::uint64_t number = 0;
  };

  IdHash hashOf(std::string_view id) const;
  std::uint64_t contentOf(int classIndex, std::int64_t destination, std::string_view key) const;
  void forgetOldest();
  void forgetExpired(double nowMs);

  std::uint64_t seed_;
  std::uint64_t lastNumber_ = 0;
  tsl::robin_map<IdHash, Entry, LowBits> entries_;
  std::deque<Added> order_;  // oldest first; may name entries that have been replaced
};

}  // namespace myrtleloft
