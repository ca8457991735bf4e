#include "audit/audit_message.h"

#include <cstring>
#include <exception>

#include "journal/archive.h"

namespace myrtleloft {

// ---- the fields, for cereal ----
template <typename Archive>
void serialize(Archive& ar, Hash& h) {
  ar(h.high, h.low);
}
template <typename Archive>
void serialize(Archive& ar, Incarnation& i) {
  ar(i.life, i.start);
}
template <typename Archive>
void serialize(Archive& ar, NodeName& n) {
  ar(n.version, n.level, n.branches, n.index, n.step);
}
template <typename Archive>
void serialize(Archive& ar, AuditTold& t) {
  for (Hash& part : t.version.parts) ar(part);
  for (std::uint32_t& held : t.heldS) ar(held);
  ar(t.listRev, t.branches, t.root);
}
template <typename Archive>
void serialize(Archive& ar, AuditQuestion& q) {
  ar(q.node);
}
// A flag is a whole byte: one that is neither of the two would be no bool.
template <typename Archive>
void flag(Archive& ar, bool& value) {
  auto byte = static_cast<std::uint8_t>(value);
  ar(byte);
  if (byte > 1) throw BufferTooShort();
  value = byte == 1;
}
template <typename Archive>
void serialize(Archive& ar, AuditAnswer& a) {
  ar(a.node);
  flag(ar, a.there);
  ar(a.children, a.asked, a.did);
}
template <typename Archive>
void serialize(Archive& ar, AuditWindow& w) {
  ar(w.program, w.settings, w.digest, w.bytes);
}
template <typename Archive>
void serialize(Archive& ar, AuditMessage& m) {
  ar(m.from, m.to, m.number, m.heard);
  std::visit([&](auto& what) { ar(what); }, m.what);
}

std::string encode(const AuditMessage& message) {
  std::string bytes(1, static_cast<char>(message.what.index()));
  BufferOutputArchive out(bytes);
  AuditMessage copy = message;
  out(copy);
  out(hashOf(std::string_view(bytes)).low);
  return bytes;
}

bool decode(std::string_view bytes, AuditMessage& message) {
  constexpr std::size_t kCheck = sizeof(std::uint64_t);
  if (bytes.size() <= kCheck || bytes.size() > kMostAuditMessage) return false;
  const std::string_view all = bytes.substr(0, bytes.size() - kCheck);
  std::uint64_t check = 0;
  std::memcpy(&check, bytes.data() + all.size(), kCheck);
  if (check != hashOf(all).low) return false;
  switch (bytes[0]) {
    case 0:
      message.what = AuditTold();
      break;
    case 1:
      message.what = AuditQuestion();
      break;
    case 2:
      message.what = AuditAnswer();
      break;
    case 3:
      message.what = AuditWindow();
      break;
    default:
      return false;
  }
  try {
    BufferInputArchive in(all.substr(1));
    in(message);
    return in.left() == 0;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace myrtleloft
