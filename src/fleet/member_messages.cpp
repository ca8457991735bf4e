#include "fleet/member_messages.h"

#include <utility>

#include "journal/archive.h"

namespace myrtleloft {

template <typename Archive>
void serialize(Archive& ar, Incarnation& i) {
  ar(i.life, i.start);
}

template <typename Archive>
void serialize(Archive& ar, MemberNews& n) {
  ar(n.name, n.incarnation, n.denial, n.standing, n.building);
}

template <typename Archive>
void serialize(Archive& ar, MemberQuestion& q) {
  ar(q.number, q.about, q.behalf, q.news);
}

template <typename Archive>
void save(Archive& ar, const MemberReply& r) {
  ar(r.number, static_cast<std::uint8_t>(r.reached), r.heardMsAgo, r.news);
}

template <typename Archive>
void load(Archive& ar, MemberReply& r) {
  std::uint8_t reached = 0;
  ar(r.number, reached, r.heardMsAgo, r.news);
  if (reached > 1) throw BufferTooShort();
  r.reached = reached == 1;
}

namespace {

bool meant(const std::vector<MemberNews>& news) {
  if (news.size() > kMostMemberNews) return false;
  for (const MemberNews& n : news) {
    if (n.name.empty() || n.name.size() > kMostMemberName || n.building.size() > kMostMemberName)
      return false;
    if (n.incarnation.life == 0 || n.incarnation.start == 0 || n.denial > kMostDenial) return false;
    if (n.standing < Standing::kAlive || n.standing > Standing::kDead) return false;
  }
  return true;
}

bool meant(const MemberQuestion& q) {
  return q.number != 0 && q.about.size() <= kMostMemberName && q.behalf.size() <= kMostMemberName &&
         meant(q.news);
}

bool meant(const MemberReply& r) { return r.number != 0 && meant(r.news); }

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
  if (!meant(message)) return false;
  out = std::move(message);
  return true;
}

}  // namespace

std::string encodeMembers(const MemberQuestion& question) { return encoded(question); }
std::string encodeMembers(const MemberReply& reply) { return encoded(reply); }
bool decodeMembers(std::string_view payload, MemberQuestion& out) { return decoded(payload, out); }
bool decodeMembers(std::string_view payload, MemberReply& out) { return decoded(payload, out); }

}  // namespace myrtleloft
