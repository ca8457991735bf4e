#include "fleet/member_messages.h"

#include <utility>

#include "journal/archive.h"

namespace myrtleloft {

template <typename Archive>
void serialize(Archive& ar, Incarnation& i) {
  ar(i.life, i.start);
}

template <typename Archive>
void serialize(Archive& ar, GossipUpdate& n) {
  ar(n.name, n.incarnation, n.denial, n.state, n.building);
}

template <typename Archive>
void serialize(Archive& ar, Ping& q) {
  ar(q.number, q.target, q.onBehalfOf, q.updates);
}

template <typename Archive>
void save(Archive& ar, const PingReply& r) {
  ar(r.number, static_cast<std::uint8_t>(r.reached), r.heardMsAgo, r.updates);
}

template <typename Archive>
void load(Archive& ar, PingReply& r) {
  std::uint8_t reached = 0;
  ar(r.number, reached, r.heardMsAgo, r.updates);
  if (reached > 1) throw BufferTooShort();
  r.reached = reached == 1;
}

namespace {

bool isValid(const std::vector<GossipUpdate>& updates) {
  if (updates.size() > kMaxGossipUpdates) return false;
  for (const GossipUpdate& n : updates) {
    if (n.name.empty() || n.name.size() > kMaxMemberNameBytes || n.building.size() > kMaxMemberNameBytes)
      return false;
    if (n.incarnation.life == 0 || n.incarnation.start == 0 || n.denial > kMaxDenial) return false;
    if (n.state < MemberState::kAlive || n.state > MemberState::kDead) return false;
  }
  return true;
}

bool isValid(const Ping& q) {
  return q.number != 0 && q.target.size() <= kMaxMemberNameBytes &&
         q.onBehalfOf.size() <= kMaxMemberNameBytes && isValid(q.updates);
}

bool isValid(const PingReply& r) { return r.number != 0 && isValid(r.updates); }

template <typename Message>
std::string encoded(const Message& message) {
  std::string payload;
  BufferOutputArchive out(payload);
  out(message);
  return payload;
}

template <typename Message>
bool decoded(std::string_view payload, Message& out) {
  Message message;
  try {
    BufferInputArchive in(payload);
    in(message);
    if (in.left() != 0) return false;
  } catch (const std::exception&) {
    return false;
  }
  if (!isValid(message)) return false;
  out = std::move(message);
  return true;
}

}  // namespace

std::string encodeMembers(const Ping& ping) { return encoded(ping); }
std::string encodeMembers(const PingReply& reply) { return encoded(reply); }
bool decodeMembers(std::string_view payload, Ping& out) { return decoded(payload, out); }
bool decodeMembers(std::string_view payload, PingReply& out) { return decoded(payload, out); }

}  // namespace myrtleloft
