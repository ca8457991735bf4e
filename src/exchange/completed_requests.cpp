#include "exchange/completed_requests.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <random>

namespace myrtleloft {
namespace {

std::uint64_t randomSeed() {
  std::random_device random;
  return static_cast<std::uint64_t>(random()) << 32 | random();
}

}  // namespace

CompletedRequests::CompletedRequests() : seed_(randomSeed()) {}

void CompletedRequests::add(const PendingRequest& request, Ending ending, double deadlineMs, double nowMs) {
  forgetExpired(nowMs);
  if (deadlineMs <= nowMs) return;
  const IdHash id = hashOf(request.id);
  const std::uint64_t number = ++lastNumber_;
  entries_[id] = {contentOf(request.classIndex, request.destination, request.key), number, deadlineMs,
                  ending};
  order_.push_back({id, number});
  while (order_.size() > kMaxRequests) forgetOldest();
}

std::optional<Answer> CompletedRequests::answerTo(const IncomingRequest& request, double nowMs) const {
  const auto found = entries_.find(hashOf(request.id));
  if (found == entries_.end() || found->second.deadlineMs <= nowMs) return std::nullopt;
  const Entry& entry = found->second;
  if (entry.content != contentOf(request.classIndex, request.destination, request.key))
    return Answer{Answer::Kind::kMalformed};
  return Answer{entry.ending == Ending::kDelivered ? Answer::Kind::kAccepted : Answer::Kind::kFailed};
}

CompletedRequests::IdHash CompletedRequests::hashOf(std::string_view id) const {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(id.data(), id.size(), seed_);
  return {hash.high64, hash.low64};
}

std::uint64_t CompletedRequests::contentOf(int classIndex, std::int64_t destination,
                                           std::string_view key) const {
  const std::array<std::int64_t, 2> numbers = {classIndex, destination};
  const std::uint64_t seed = XXH3_64bits_withSeed(numbers.data(), sizeof numbers, seed_);
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

void CompletedRequests::forgetOldest() {
  const auto found = entries_.find(order_.front().id);
  if (found != entries_.end() && found->second.number == order_.front().number) entries_.erase(found);
  order_.pop_front();
}

void CompletedRequests::forgetExpired(double nowMs) {
  while (!order_.empty()) {
    const auto found = entries_.find(order_.front().id);
    const bool isCurrent = found != entries_.end() && found->second.number == order_.front().number;
    if (isCurrent && found->second.deadlineMs > nowMs) return;
    forgetOldest();
  }
}

}  // namespace myrtleloft
