#include "copies/holder.h"

#include <tuple>
#include <utility>

#include "copies/planted.h"
#include "copies/serialize.h"

namespace myrtleloft {

namespace {

constexpr char kLedgerKey[] = "held/";
constexpr char kCopyKey[] = "copy/";

struct TablePosition {
  std::uint64_t epoch = 0, stream = 0, sequence = 0;
  template <typename Archive>
  void serialize(Archive& ar) {
    ar(epoch, stream, sequence);
  }
};
struct StoredLedger {
  LedgerId ledger;
  std::uint64_t fenced = 0;
  std::vector<TablePosition> complete, incoming;  // empty or one element
  template <typename Archive>
  void serialize(Archive& ar) {
    ar(ledger, fenced, complete, incoming);
  }
};

std::string recordOf(const PendingRequest& pendingRequest) {
  std::string bytes;
  encode(pendingRequest, bytes);
  return bytes;
}

}  // namespace

std::string Replica::keyOf(const LedgerId& id, const Table& table) {
  return kCopyKey + bytesOf(id) + bytesOf(table.epoch) + bytesOf(table.stream);
}

Replica::Replica(std::uint64_t life, std::size_t capacityBytes, const StoredEntries& stored)
    : life_(life), capacityBytes_(capacityBytes) {
  for (auto at = stored.lower_bound(kLedgerKey); at != stored.end() && at->first.starts_with(kLedgerKey);
       ++at) {
    StoredLedger storedLedger;
    if (!read(at->second, storedLedger)) continue;
    LedgerCopy& ledgerCopy = ledgers_[storedLedger.ledger];
    ledgerCopy.fenced = storedLedger.fenced;
    const auto load = [&](const std::vector<TablePosition>& positions, std::optional<Table>& table) {
      if (positions.empty()) return;
      table.emplace(Table{positions[0].epoch, positions[0].stream, positions[0].sequence, {}});
      const std::string prefix = keyOf(storedLedger.ledger, *table);
      for (auto entry = stored.lower_bound(prefix); entry != stored.end() && entry->first.starts_with(prefix);
           ++entry) {
        if (std::optional<Record> record = decode(entry->second))
          table->pendingTable.apply(std::move(*record));
      }
    };
    load(storedLedger.complete, ledgerCopy.complete);
    load(storedLedger.incoming, ledgerCopy.incoming);
  }
}

std::size_t Replica::bytes() const {
  std::size_t sum = 0;
  for (const auto& [id, ledgerCopy] : ledgers_)
    sum += (ledgerCopy.complete ? ledgerCopy.complete->pendingTable.bytes() : 0) +
           (ledgerCopy.incoming ? ledgerCopy.incoming->pendingTable.bytes() : 0);
  return sum;
}

CopyAck Replica::onCopy(const CopyRequest& copy, ReplicationStep& out) {
  CopyAck answer{copy.ledger, copy.epoch, copy.stream, 0, CopyOutcome::kStored, life_, 0};
  LedgerCopy& ledgerCopy = ledgers_[copy.ledger];
  if (copy.epoch < ledgerCopy.fenced) {
    answer.outcome = CopyOutcome::kRejectedByFence;
    answer.fenced = ledgerCopy.fenced;
    return answer;
  }
  const auto matches = [&](const std::optional<Table>& candidate) {
    return candidate && candidate->epoch == copy.epoch && candidate->stream == copy.stream;
  };
  const auto isNewer = [&](const std::optional<Table>& candidate) {
    return !candidate || std::tie(candidate->epoch, candidate->stream) < std::tie(copy.epoch, copy.stream);
  };
  Table newTable{copy.epoch, copy.stream, 0, {}};
  Table* table = matches(ledgerCopy.incoming)   ? &*ledgerCopy.incoming
                 : matches(ledgerCopy.complete) ? &*ledgerCopy.complete
                                                : nullptr;
  if (!table) {
    if (copy.sequence != 1 || !isNewer(ledgerCopy.complete) || !isNewer(ledgerCopy.incoming)) {
      answer.outcome = CopyOutcome::kUnknown;
      return answer;
    }
    table = &newTable;
  }
  if (copy.sequence == table->sequence + 1) {
    if (!fits(*table, copy)) {
      answer.outcome = CopyOutcome::kFull;
      answer.sequence = table->sequence;
      return answer;
    }
    std::optional<Table> replaced;
    if (table == &newTable) {
      replaced = std::exchange(ledgerCopy.incoming, std::move(newTable));
      table = &*ledgerCopy.incoming;
    }
    applyRecords(copy.ledger, *table, copy, out);
    answer.sequence = table->sequence;
    storeLedger(copy.ledger, ledgerCopy, out);
    if (replaced) eraseTable(copy.ledger, *replaced, out);
    if (copy.tableComplete && matches(ledgerCopy.incoming)) {
      // Switches to the new table before deleting the old one's records, so that a crash between the writes
      // leaves a complete table.
      replaced = std::exchange(ledgerCopy.complete, std::exchange(ledgerCopy.incoming, std::nullopt));
      storeLedger(copy.ledger, ledgerCopy, out);
      if (replaced) eraseTable(copy.ledger, *replaced, out);
    }
    return answer;
  }
  answer.sequence = table->sequence;
  return answer;
}

bool Replica::fits(const Table& table, const CopyRequest& copy) const {
  std::size_t addedBytes = 0;
  for (const std::string& bytes : copy.records) {
    const std::optional<Record> record = decode(bytes);
    if (!record) continue;
    if (const auto* accepted = std::get_if<AcceptedRecord>(&*record);
        accepted && !table.pendingTable.find(accepted->pending.id))
      addedBytes += bytes.size();
  }
  return addedBytes == 0 || bytes() + addedBytes <= capacityBytes_;
}

void Replica::applyRecords(const LedgerId& id, Table& table, const CopyRequest& copy,
                           ReplicationStep& out) const {
  table.sequence = copy.sequence;
  const std::string prefix = keyOf(id, table);
  for (const std::string& bytes : copy.records) {
    std::optional<Record> record = decode(bytes);
    if (!record) continue;
    if (isInjected(InjectedBug::kCompletionsIgnored) && std::holds_alternative<CompletedRecord>(*record))
      continue;
    const std::string requestId = table.pendingTable.apply(std::move(*record));
    const PendingRequest* pendingRequest = table.pendingTable.find(requestId);
    out.stores.push_back({prefix + requestId, pendingRequest ? recordOf(*pendingRequest) : std::string()});
  }
}

FenceResponse Replica::onFence(const FenceRequest& fence, ReplicationStep& out) {
  FenceResponse answer{fence.ledger, fence.epoch, life_, true, 0, fence.after, true, {}};
  LedgerCopy& ledgerCopy = ledgers_[fence.ledger];
  if (fence.epoch < ledgerCopy.fenced) {
    answer.done = false;
    answer.fenced = ledgerCopy.fenced;
    return answer;
  }
  if (fence.epoch > ledgerCopy.fenced && !isInjected(InjectedBug::kNoFence)) {
    ledgerCopy.fenced = fence.epoch;
    storeLedger(fence.ledger, ledgerCopy, out);
  }
  answer.fenced = ledgerCopy.fenced;
  if (!ledgerCopy.complete) return answer;
  std::size_t size = 0;
  const auto& requests = ledgerCopy.complete->pendingTable.requests();
  for (auto at = requests.upper_bound(fence.after); at != requests.end(); ++at) {
    if (size >= kMessageBytes) {
      answer.last = false;
      break;
    }
    size += answer.records.emplace_back(recordOf(at->second)).size();
  }
  return answer;
}

std::optional<LedgerId> Replica::findLedgerOf(const std::string& key, int tenant) const {
  for (const auto& [id, ledgerCopy] : ledgers_) {
    if (!ledgerCopy.complete || key.empty()) continue;
    for (const auto& [request, pendingRequest] : ledgerCopy.complete->pendingTable.requests())
      if (pendingRequest.key == key && pendingRequest.tenant == tenant) return id;
  }
  return std::nullopt;
}

void Replica::storeLedger(const LedgerId& id, const LedgerCopy& ledgerCopy, ReplicationStep& out) const {
  StoredLedger storedLedger{id, ledgerCopy.fenced, {}, {}};
  const auto positionOf = [](const Table& candidate) {
    return TablePosition{candidate.epoch, candidate.stream, candidate.sequence};
  };
  if (ledgerCopy.complete) storedLedger.complete.push_back(positionOf(*ledgerCopy.complete));
  if (ledgerCopy.incoming) storedLedger.incoming.push_back(positionOf(*ledgerCopy.incoming));
  out.stores.push_back({kLedgerKey + bytesOf(id), bytesOf(storedLedger)});
}

void Replica::eraseTable(const LedgerId& id, const Table& table, ReplicationStep& out) const {
  const std::string prefix = keyOf(id, table);
  for (const auto& [request, pendingRequest] : table.pendingTable.requests())
    out.stores.push_back({prefix + request, {}});
}

}  // namespace myrtleloft
