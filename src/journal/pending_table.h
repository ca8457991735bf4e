// The pending requests that a reading of the journal found, by id.
//
//   PendingTable pending;
//   RecoveredRequest& request = pending.put(std::move(recorded));   // in place of the one of that id, if any
//   if (RecoveredRequest* known = pending.find("9b1f")) ...
//   for (RecoveredRequest& each : pending) ...
//   pending.take([&](RecoveredRequest each) { ... });               // empties it, giving back memory as it
//   goes
//
// A start with many pending requests waits for memory more than for anything else: so they stand side by
// side, each id once, and the index has nothing but numbers and hashes. `erase` puts the last one in the gap:
// a request stays where it is from the last `erase` on, and the table may be moved meanwhile. Amortized O(1)
// each; one thread.
#pragma once

#include <tsl/robin_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "journal/name_table.h"
#include "journal/records.h"

namespace myrtleloft {

struct RecoveredRequest {
  PendingRequest pending;
  std::uint64_t segment = 0;  // where its newest complete record stands; 0: in none, only the version 1 file
  std::uint64_t corruptionsSeen = 0;  // no attempt before that many damaged parts is missing
  // By what the class meant when its records were written; none: what it means now.
  std::optional<RetryPermission> permission;
  // Its times are as this process would have recorded them; false: they are those of a wall clock that may
  // have been set since.
  bool timesKnown = false;
};

class PendingTable {
  static constexpr std::size_t kChunk = 256;
  // Chunks, so that none moves while the table grows and `take` can give them back one by one.
  using Chunks = std::vector<std::vector<RecoveredRequest>>;

 public:
  template <typename Table, typename Request>
  class Walk {
   public:
    Walk(Table& table, std::size_t at) : table_(&table), at_(at) {}
    Request& operator*() const { return (*table_->chunks_)[at_ / kChunk][at_ % kChunk]; }
    Walk& operator++() {
      ++at_;
      return *this;
    }
    bool operator!=(const Walk& other) const { return at_ != other.at_; }

   private:
    Table* table_;
    std::size_t at_;
  };
  using Iterator = Walk<PendingTable, RecoveredRequest>;
  using ConstIterator = Walk<const PendingTable, const RecoveredRequest>;

  Iterator begin() { return {*this, 0}; }
  Iterator end() { return {*this, size_}; }
  ConstIterator begin() const { return {*this, 0}; }
  ConstIterator end() const { return {*this, size_}; }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

  // Null: there is none of that id.
  RecoveredRequest* find(std::string_view id) {
    const auto at = index_.find(id);
    return at == index_.end() ? nullptr : &(*chunks_)[*at / kChunk][*at % kChunk];
  }
  const RecoveredRequest* find(std::string_view id) const {
    return const_cast<PendingTable*>(this)->find(id);
  }

  // Of a known id only the request is replaced; segment, permission and the like stay.
  RecoveredRequest& put(PendingRequest pending) {
    if (RecoveredRequest* known = find(pending.id)) {
      known->pending = std::move(pending);
      return *known;
    }
    if (size_ % kChunk == 0) chunks_->emplace_back().reserve(kChunk);
    RecoveredRequest& added = chunks_->back().emplace_back();
    added.pending = std::move(pending);
    index_.insert(static_cast<std::uint32_t>(size_++));
    return added;
  }

  // Nothing where there is none of that id.
  void erase(std::string_view id) {
    const auto at = index_.find(id);
    if (at == index_.end()) return;
    const std::uint32_t gap = *at;
    const auto last = static_cast<std::uint32_t>(size_ - 1);
    index_.erase(at);
    RecoveredRequest& moved = chunks_->back().back();
    if (gap != last) {
      index_.erase(last);
      (*chunks_)[gap / kChunk][gap % kChunk] = std::move(moved);
      index_.insert(gap);
    }
    chunks_->back().pop_back();
    if (chunks_->back().empty()) chunks_->pop_back();
    --size_;
  }

  // Empties the table; `visit` gets each request, by value.
  template <typename Visitor>
  void take(const Visitor& visit) {
    index_.clear();
    size_ = 0;
    for (auto& chunk : std::exchange(*chunks_, {})) {
      for (RecoveredRequest& request : chunk) visit(std::move(request));
      std::vector<RecoveredRequest>().swap(chunk);
    }
  }

 private:
  // Numbers count as the ids that stand there, so that either may be looked up.
  struct Ids {
    // NOLINTNEXTLINE(readability-identifier-naming): the name that containers look for
    using is_transparent = void;
    const Chunks* chunks = nullptr;
    std::string_view of(std::uint32_t at) const { return (*chunks)[at / kChunk][at % kChunk].pending.id; }
    std::string_view of(std::string_view id) const { return id; }
  };
  struct Hash : Ids {
    template <typename Key>
    std::size_t operator()(const Key& key) const {
      return std::hash<std::string_view>()(Ids::of(key));
    }
  };
  struct Same : Ids {
    template <typename Left, typename Right>
    bool operator()(const Left& left, const Right& right) const {
      return Ids::of(left) == Ids::of(right);
    }
  };
  // With the hashes stored: growing looks at no request.
  using Index = tsl::robin_set<std::uint32_t, Hash, Same, std::allocator<std::uint32_t>, true>;

  std::unique_ptr<Chunks> chunks_ = std::make_unique<Chunks>();  // the index points at it: it stays put
  std::size_t size_ = 0;
  Index index_{0, Hash{{chunks_.get()}}, Same{{chunks_.get()}}};
};

}  // namespace myrtleloft
