// The fields of names and registers, for cereal. Of this package alone.
#pragma once

#include "copies/messages.h"
#include "journal/archive.h"

namespace myrtleloft {

template <typename Archive>
void serialize(Archive& ar, Incarnation& i) {
  ar(i.life, i.start);
}
template <typename Archive>
void serialize(Archive& ar, LedgerId& l) {
  ar(l.maker, l.made, l.slot);
}
template <typename Archive>
void serialize(Archive& ar, RelayLife& r) {
  ar(r.name, r.life);
}
template <typename Archive>
void serialize(Archive& ar, LedgerState& s) {
  ar(s.epoch, s.owner, s.start, s.ensemble, s.open);
}
template <typename Archive>
void serialize(Archive& ar, Ballot& b) {
  ar(b.round, b.nonce);
}
template <typename Archive>
void serialize(Archive& ar, LifeMark& m) {
  ar(m.ordinal, m.life);
}
template <typename Archive>
void serialize(Archive& ar, KnownLife& k) {
  ar(k.name, k.mark);
}
template <typename Archive>
void serialize(Archive& ar, RegisterCopy& r) {
  ar(r.ledger, r.promised, r.accepted, r.value);
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
