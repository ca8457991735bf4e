#include "audit/step_codec.h"

#include <algorithm>
#include <cmath>
#include <type_traits>
#include <utility>

#include "journal/archive.h"

namespace myrtleloft {
namespace {

constexpr std::uint32_t kMostInBatch = 65536;

// One description of the fields serves both directions.
template <typename Archive>
constexpr bool kReads = std::is_same_v<Archive, BufferInputArchive>;

// A flag or an enumeration, as one byte that is no more than its last name.
template <typename Archive, typename T>
void small(Archive& ar, T& value, int most) {
  auto code = static_cast<std::uint8_t>(value);
  ar(code);
  if (code > most) throw BufferTooShort();
  if constexpr (kReads<Archive>) value = static_cast<T>(code);
}
template <typename Archive>
void number(Archive& ar, double& value) {
  ar(value);
  if (kReads<Archive> && !std::isfinite(value)) throw BufferTooShort();
}
template <typename Archive, typename T, typename Each>
void list(Archive& ar, std::vector<T>& items, const Each& each) {
  auto size = static_cast<std::uint32_t>(items.size());
  ar(size);
  if constexpr (kReads<Archive>) {
    if (size > kMostInBatch || size > ar.left()) throw BufferTooShort();
    items.resize(size);
  }
  for (T& item : items) each(item);
}

template <typename Archive>
void fields(Archive& ar, RequestEvent& e) {
  ar(e.id, e.classIndex, e.tenant, e.orderKey);
  number(ar, e.deadlineMs);
  number(ar, e.effortMs);
  ar(e.destination);
  small(ar, e.isRetry, 1);
  ar(e.attempts);
  list(ar, e.ambiguousAttempts, [&](AmbiguousAttempt& earlier) {
    ar(earlier.zone);
    number(ar, earlier.sentMs);
  });
}
template <typename Archive>
void fields(Archive& ar, OutcomeEvent& e) {
  ar(e.id, e.attempt, e.endpoint);
  small(ar, e.outcome, static_cast<int>(Outcome::kNotSent));
  small(ar, e.completed, 1);
  ar(e.retryAfterMs);
  bool told = e.report.limitPerSecond.has_value();
  small(ar, told, 1);
  if (!told) return;
  if (!e.report.limitPerSecond) e.report.limitPerSecond = 0;
  number(ar, *e.report.limitPerSecond);
}
template <typename Archive>
void fields(Archive& ar, EndpointListEvent& e) {
  small(ar, e.kind, static_cast<int>(ListUpdateKind::kError));
  list(ar, e.entries, [&](EndpointInfo& entry) {
    ar(entry.endpoint, entry.zone, entry.kind, entry.destination);
    small(ar, entry.state, static_cast<int>(EndpointState::kRemoved));
    number(ar, entry.rating);
  });
}
template <typename Archive>
void fields(Archive& ar, TimerEvent& e) {
  ar(e.token);
}
template <typename Archive>
void fields(Archive& ar, ClientDisconnectEvent& e) {
  ar(e.id);
}
template <typename Archive>
void fields(Archive& ar, SendAction& a) {
  ar(a.id, a.endpoint);
  number(ar, a.timeoutMs);
}
template <typename Archive>
void fields(Archive& ar, RejectAction& a) {
  ar(a.id);
  number(ar, a.retryAfterMs);
}
template <typename Archive>
void fields(Archive& ar, FailAction& a) {
  ar(a.id);
}
template <typename Archive>
void fields(Archive& ar, CancelAction& a) {
  ar(a.id, a.attempt);
}
template <typename Archive>
void fields(Archive& ar, TimerAction& a) {
  number(ar, a.delayMs);
  ar(a.token);
}
template <typename Archive>
void fields(Archive& ar, WatchEndpointListAction& a) {
  small(ar, a.active, 1);
}
template <typename Archive>
void fields(Archive& ar, CloseIdleConnectionsAction& a) {
  ar(a.endpoint);
}

template <typename Variant, std::size_t... I>
void makeAt(std::size_t index, Variant& value, std::index_sequence<I...>) {
  ((I == index ? static_cast<void>(value.template emplace<I>()) : static_cast<void>(0)), ...);
}
template <typename Archive, typename Variant>
void oneOf(Archive& ar, Variant& value) {
  constexpr std::size_t kKinds = std::variant_size_v<Variant>;
  std::size_t kind = value.index();
  small(ar, kind, static_cast<int>(kKinds) - 1);
  if constexpr (kReads<Archive>) makeAt(kind, value, std::make_index_sequence<kKinds>());
  std::visit([&](auto& held) { fields(ar, held); }, value);
}

template <typename Read>
bool readWhole(std::string_view bytes, const Read& read) {
  try {
    BufferInputArchive in(bytes);
    read(in);
    return in.left() == 0;
  } catch (const std::exception&) {
    return false;
  }
}

// ---- as text ----
std::string plain(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.17g", value);
  return text;
}
std::string textOf(const RequestEvent& e) {
  return "message " + e.id + " class " + std::to_string(e.classIndex) + " to " +
         std::to_string(e.destination);
}
std::string textOf(const OutcomeEvent& e) {
  constexpr const char* kNames[] = {"good",          "bad",   "full",      "late",
                                    "no connection", "reset", "cancelled", "not sent"};
  return "outcome " + e.id + " " + kNames[static_cast<int>(e.outcome)] + " of " + e.endpoint;
}
std::string textOf(const EndpointListEvent& e) { return "list of " + std::to_string(e.entries.size()); }
std::string textOf(const TimerEvent& e) { return "timer " + std::to_string(e.token); }
std::string textOf(const ClientDisconnectEvent& e) { return "hang-up " + e.id; }
std::string text(const SendAction& a) {
  return "send " + a.id + " to " + a.endpoint + " cap " + plain(a.timeoutMs);
}
std::string text(const RejectAction& a) { return "refuse " + a.id + " for " + plain(a.retryAfterMs); }
std::string text(const FailAction& a) { return "fail " + a.id; }
std::string text(const CancelAction& a) {
  return "call off " + a.id + " attempt " + std::to_string(a.attempt);
}
std::string text(const TimerAction& a) {
  return "timer " + std::to_string(a.token) + " in " + plain(a.delayMs);
}
std::string text(const WatchEndpointListAction& a) { return a.active ? "watch the list" : "leave the list"; }
std::string text(const CloseIdleConnectionsAction& a) { return "free links of " + a.endpoint; }

// Ids are clients' texts, and may be a peer's inventions: a line of the log stays one.
std::string printable(std::string text) {
  text.resize(std::min(text.size(), kLongestTold));
  for (char& c : text)
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) c = '_';
  return text;
}

}  // namespace

// The archives take what they write as what they would read into.
std::string encodeEvents(double nowMs, const std::vector<Event>& events) {
  std::string bytes;
  BufferOutputArchive out(bytes);
  out(nowMs, static_cast<std::uint32_t>(events.size()));
  for (const Event& e : events) oneOf(out, const_cast<Event&>(e));
  return bytes;
}
std::string encodeActions(const std::vector<Action>& actions) {
  std::string bytes;
  BufferOutputArchive out(bytes);
  out(static_cast<std::uint32_t>(actions.size()));
  for (const Action& a : actions) oneOf(out, const_cast<Action&>(a));
  return bytes;
}
bool decodeEvents(std::string_view bytes, Batch& batch) {
  return readWhole(bytes, [&](BufferInputArchive& in) {
    number(in, batch.nowMs);
    list(in, batch.events, [&](Event& e) { oneOf(in, e); });
  });
}
bool decodeActions(std::string_view bytes, std::vector<Action>& actions) {
  return readWhole(bytes,
                   [&](BufferInputArchive& in) { list(in, actions, [&](Action& a) { oneOf(in, a); }); });
}

std::string textOf(const Batch& batch) {
  std::string all = "at " + plain(batch.nowMs);
  for (const Event& e : batch.events) {
    if (all.size() > kLongestTold) break;
    all += "; ";
    all += std::visit([](const auto& held) { return textOf(held); }, e);
  }
  return printable(std::move(all));
}
std::string textOf(const Action& action) {
  return printable(std::visit([](const auto& held) { return text(held); }, action));
}

}  // namespace myrtleloft
