#include "audit/audit_message.h"

#include <cstring>
#include <exception>

#include "journal/archive.h"

namespace myrtleloft {

// ---- cereal serialization ----
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
void serialize(Archive& ar, DigestReport& t) {
  for (Hash& part : t.version.parts) ar(part);
  for (std::uint32_t& held : t.heldS) ar(held);
  ar(t.listRev, t.branches, t.root);
}
template <typename Archive>
void serialize(Archive& ar, AuditQuestion& q) {
  ar(q.node);
}
// Rejects bytes other than 0 and 1, which would not be valid bool values.
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
  flag(ar, a.available);
  ar(a.children, a.input, a.output);
}
template <typename Archive>
void serialize(Archive& ar, AuditWindow& w) {
  ar(w.program, w.settings, w.digest, w.bytes);
}
template <typename Archive>
void serialize(Archive& ar, AuditMessage& m) {
  ar(m.from, m.to, m.number, m.lastReceivedNumber);
  std::visit([&](auto& body) { ar(body); }, m.body);
}

std::string encode(const AuditMessage& message) {
  std::string bytes(1, static_cast<char>(message.body.index()));
  BufferOutputArchive out(bytes);
  AuditMessage copy = message;
  out(copy);
  out(hashOf(std::string_view(bytes)).low);
  return bytes;
}

bool decode(std::string_view bytes, AuditMessage& message) {
  constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);
  if (bytes.size() <= kChecksumBytes || bytes.size() > kMaxAuditMessageBytes) return false;
  const std::string_view content = bytes.substr(0, bytes.size() - kChecksumBytes);
  std::uint64_t checksum = 0;
  std::memcpy(&checksum, bytes.data() + content.size(), kChecksumBytes);
  if (checksum != hashOf(content).low) return false;
  switch (bytes[0]) {
    case 0:
      message.body = DigestReport();
      break;
    case 1:
      message.body = AuditQuestion();
      break;
    case 2:
      message.body = AuditAnswer();
      break;
    case 3:
      message.body = AuditWindow();
      break;
    default:
      return false;
  }
  try {
    BufferInputArchive in(content.substr(1));
    in(message);
    return in.left() == 0;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace myrtleloft
