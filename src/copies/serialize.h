// cereal serialization of ledger identifiers and registers, for use inside this module only.
#pragma once

#include "copies/messages.h"
#include "journal/archive.h"

namespace myrtleloft {

template <typename Archive>
void serialize(Archive& ar, Incarnation& incarnation) {
  ar(incarnation.life, incarnation.start);
}
template <typename Archive>
void serialize(Archive& ar, LedgerId& id) {
  ar(id.creator, id.creatorIncarnation, id.slot);
}
template <typename Archive>
void serialize(Archive& ar, RelayId& entry) {
  ar(entry.name, entry.life);
}
template <typename Archive>
void serialize(Archive& ar, LedgerState& state) {
  ar(state.epoch, state.owner, state.start, state.ensemble, state.open);
}
template <typename Archive>
void serialize(Archive& ar, Ballot& ballot) {
  ar(ballot.round, ballot.nonce);
}
template <typename Archive>
void serialize(Archive& ar, FolderGeneration& value) {
  ar(value.ordinal, value.life);
}
template <typename Archive>
void serialize(Archive& ar, KnownGeneration& known) {
  ar(known.name, known.generation);
}
template <typename Archive>
void serialize(Archive& ar, ConfigRegisterCopy& entry) {
  ar(entry.ledger, entry.promised, entry.accepted, entry.value);
}

template <typename T>
std::string bytesOf(const T& value) {
  std::string out;
  BufferOutputArchive archive(out);
  archive(value);
  return out;
}
template <typename T>
bool read(std::string_view bytes, T& value) try {
  BufferInputArchive in(bytes);
  in(value);
  return in.left() == 0;
} catch (const std::exception&) {
  return false;
}

}  // namespace myrtleloft
