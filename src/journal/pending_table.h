// The pending requests that recovery found in the journal, by id.
//
//   PendingTable pending;
//   RecoveredRequest& request = pending.put(std::move(recorded));   // replaces the request of the same id
//   if (RecoveredRequest* known = pending.find("9b1f")) ...
//   for (RecoveredRequest& each : pending) ...
//   pending.take([&](RecoveredRequest each) { ... });   // empties the table and frees memory along the way
//
// Memory access dominates the time of a start with many pending requests. Therefore requests are stored
// contiguously in chunks, each id is stored once, and the index consists of positions and hashes only.
// `erase` moves the last request into the gap, so the address of a request is stable only after the last
// `erase`; moving the table does not change it. Amortized O(1) for each operation; not thread-safe.
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

// A pending request with what recovery learned about it.
struct RecoveredRequest {
  PendingRequest pending;
  std::uint64_t segment = 0;          // the one with its newest complete record; 0 if no segment has one
  std::uint64_t corruptionsSeen = 0;  // number of damaged parts known to hide none of its attempts
  // What its class permitted when its records were written; if empty, the current settings apply.
  std::optional<RetryPermission> permission;
  // True if its times are on the clock of this process. False if they are wall clock times of an earlier
  // process, and the wall clock may have been changed since.
  bool timesKnown = false;
};

class PendingTable {
  static constexpr std::size_t kChunk = 256;
  // Chunks keep requests from moving while the table grows, and let `take` free memory chunk by chunk.
  using Chunks = std::vector<std::vector<RecoveredRequest>>;

 public:
  // A forward iterator, as far as a range-based for loop needs one.
  template <typename Table, typename Request>
  class TableIterator {
   public:
    TableIterator(Table& table, std::size_t at) : table_(&table), at_(at) {}
    Request& operator*() const { return (*table_->chunks_)[at_ / kChunk][at_ % kChunk]; }
    TableIterator& operator++() {
      ++at_;
      return *this;
    }
    bool operator!=(const TableIterator& other) const { return at_ != other.at_; }

   private:
    Table* table_;
    std::size_t at_;
  };
  using Iterator = TableIterator<PendingTable, RecoveredRequest>;
  using ConstIterator = TableIterator<const PendingTable, const RecoveredRequest>;

  Iterator begin() { return {*this, 0}; }
  Iterator end() { return {*this, size_}; }
  ConstIterator begin() const { return {*this, 0}; }
  ConstIterator end() const { return {*this, size_}; }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

  // Returns nullptr if there is no request of this id.
  RecoveredRequest* find(std::string_view id) {
    const auto at = index_.find(id);
    return at == index_.end() ? nullptr : &(*chunks_)[*at / kChunk][*at % kChunk];
  }
  const RecoveredRequest* find(std::string_view id) const {
    return const_cast<PendingTable*>(this)->find(id);
  }

  // Adds the request. If the id is known, replaces only `pending`, and keeps the other members.
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

  // Does nothing if there is no request of this id.
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

  // Empties the table, passing each request by value to `visit`.
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
  // Maps a position in the table to the id stored there, so that the index can be searched by position and by
  // id.
  struct IdAccess {
    // NOLINTNEXTLINE(readability-identifier-naming): the standard name for heterogeneous lookup
    using is_transparent = void;
    const Chunks* chunks = nullptr;
    std::string_view of(std::uint32_t at) const { return (*chunks)[at / kChunk][at % kChunk].pending.id; }
    std::string_view of(std::string_view id) const { return id; }
  };
  struct Hash : IdAccess {
    template <typename Key>
    std::size_t operator()(const Key& key) const {
      return std::hash<std::string_view>()(IdAccess::of(key));
    }
  };
  struct Equal : IdAccess {
    template <typename Left, typename Right>
    bool operator()(const Left& left, const Right& right) const {
      return IdAccess::of(left) == IdAccess::of(right);
    }
  };
  // The set stores the hashes, so that a rehash does not access the requests.
  using Index = tsl::robin_set<std::uint32_t, Hash, Equal, std::allocator<std::uint32_t>, true>;

  std::unique_ptr<Chunks> chunks_ = std::make_unique<Chunks>();  // on the heap because the index points to it
  std::size_t size_ = 0;
  Index index_{0, Hash{{chunks_.get()}}, Equal{{chunks_.get()}}};
};

}  // namespace myrtleloft
