#include "copies/messages.h"

#include <algorithm>
#include <optional>

#include "copies/serialize.h"
#include "journal/records.h"

namespace myrtleloft {

template <typename Archive>
void serialize(Archive& ar, AcceptorRequest& message) {
  ar(message.phase, message.ledger, message.ballot, message.value, message.generation, message.registersEmpty,
     message.known);
}
template <typename Archive>
void serialize(Archive& ar, AcceptorResponse& message) {
  ar(message.phase, message.ledger, message.ballot, message.granted, message.generation, message.known,
     message.accepted, message.value, message.registers, message.last);
}
template <typename Archive>
void serialize(Archive& ar, CopyRequest& message) {
  ar(message.ledger, message.epoch, message.stream, message.sequence, message.tableComplete, message.closed,
     message.records);
}
template <typename Archive>
void serialize(Archive& ar, CopyAck& message) {
  ar(message.ledger, message.epoch, message.stream, message.sequence, message.outcome, message.life,
     message.fenced);
}
template <typename Archive>
void serialize(Archive& ar, FenceRequest& message) {
  ar(message.ledger, message.epoch, message.after);
}
template <typename Archive>
void serialize(Archive& ar, FenceResponse& message) {
  ar(message.ledger, message.epoch, message.life, message.done, message.fenced, message.after, message.last,
     message.records);
}

namespace {

bool isValid(const LedgerId& id) {
  return !id.creator.empty() && id.creator.size() <= kMaxNameBytes && id.creatorIncarnation.life != 0 &&
         id.creatorIncarnation.start != 0;
}

bool isValid(const LedgerState& state) {
  if (state.epoch == 0) return state == LedgerState{};
  const auto named = [](const RelayId& relay) {
    return !relay.name.empty() && relay.name.size() <= kMaxNameBytes && relay.life != 0;
  };
  return !state.owner.empty() && state.owner.size() <= kMaxNameBytes && state.start.life != 0 &&
         state.start.start != 0 && state.ensemble.size() <= kMaxReplicas &&
         std::all_of(state.ensemble.begin(), state.ensemble.end(), named);
}

bool isValid(const std::vector<KnownGeneration>& known) {
  return known.size() <= kMaxRelays &&
         std::all_of(known.begin(), known.end(), [](const KnownGeneration& entry) {
           return !entry.name.empty() && entry.name.size() <= kMaxNameBytes && entry.generation.life != 0;
         });
}

bool isValid(const std::vector<std::string>& records, bool onlyAccepted) {
  return std::all_of(records.begin(), records.end(), [&](const std::string& bytes) {
    const std::optional<Record> record = decode(bytes);
    return record && !std::holds_alternative<SegmentsDeletedRecord>(*record) &&
           (!onlyAccepted || std::holds_alternative<AcceptedRecord>(*record));
  });
}

}  // namespace

std::string encode(const AcceptorRequest& message) { return bytesOf(message); }
std::string encode(const AcceptorResponse& message) { return bytesOf(message); }
std::string encode(const CopyRequest& message) { return bytesOf(message); }
std::string encode(const CopyAck& message) { return bytesOf(message); }
std::string encode(const FenceRequest& message) { return bytesOf(message); }
std::string encode(const FenceResponse& message) { return bytesOf(message); }

bool decode(std::string_view payload, AcceptorRequest& message) {
  if (!read(payload, message) || message.phase > RequestPhase::kJoin || !isValid(message.known)) return false;
  if (message.phase == RequestPhase::kJoin)
    return message.generation.ordinal != 0 && message.generation.life != 0 &&
           (message.ledger.creator.empty() || isValid(message.ledger));
  return isValid(message.ledger) && message.ballot.round != 0 && isValid(message.value) &&
         (message.value.epoch != 0) == (message.phase == RequestPhase::kAccept);
}

bool decode(std::string_view payload, AcceptorResponse& message) {
  if (!read(payload, message) || message.phase > RequestPhase::kJoin || !isValid(message.known) ||
      message.generation.life == 0)
    return false;
  if (message.phase != RequestPhase::kJoin)
    return isValid(message.ledger) && isValid(message.value) && message.registers.empty();
  return std::all_of(message.registers.begin(), message.registers.end(), [](const ConfigRegisterCopy& relay) {
    return isValid(relay.ledger) && isValid(relay.value);
  });
}

bool decode(std::string_view payload, CopyRequest& message) {
  return read(payload, message) && isValid(message.ledger) && message.epoch != 0 && message.sequence != 0 &&
         isValid(message.records, false);
}

bool decode(std::string_view payload, CopyAck& message) {
  return read(payload, message) && isValid(message.ledger) && message.outcome <= CopyOutcome::kFull &&
         message.life != 0;
}

bool decode(std::string_view payload, FenceRequest& message) {
  return read(payload, message) && isValid(message.ledger) && message.epoch != 0;
}

bool decode(std::string_view payload, FenceResponse& message) {
  return read(payload, message) && isValid(message.ledger) && message.life != 0 &&
         isValid(message.records, true);
}

}  // namespace myrtleloft
