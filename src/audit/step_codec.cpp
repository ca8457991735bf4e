#include "audit/step_codec.h"

#include <algorithm>
#include <cmath>
#include <type_traits>
#include <utility>

#include "journal/archive.h"

namespace myrtleloft {
namespace {

constexpr std::uint32_t kMaxBatchItems = 65536;

// One description of the fields serves both directions.
template <typename Archive>
constexpr bool kIsInput = std::is_same_v<Archive, BufferInputArchive>;

// A bool or enumeration as one byte, which must not exceed `maxCode`.
template <typename Archive, typename T>
void boundedByte(Archive& ar, T& value, int maxCode) {
  auto code = static_cast<std::uint8_t>(value);
  ar(code);
  if (code > maxCode) throw BufferTooShort();
  if constexpr (kIsInput<Archive>) value = static_cast<T>(code);
}
template <typename Archive>
void finiteNumber(Archive& ar, double& value) {
  ar(value);
  if (kIsInput<Archive> && !std::isfinite(value)) throw BufferTooShort();
}
template <typename Archive, typename T, typename Each>
void vectorField(Archive& ar, std::vector<T>& items, const Each& each) {
  auto size = static_cast<std::uint32_t>(items.size());
  ar(size);
  if constexpr (kIsInput<Archive>) {
    if (size > kMaxBatchItems || size > ar.left()) throw BufferTooShort();
    items.resize(size);
  }
  for (T& item : items) each(item);
}

template <typename Archive>
void fields(Archive& ar, RequestEvent& e) {
  ar(e.id, e.classIndex, e.tenant, e.orderKey);
  finiteNumber(ar, e.deadlineMs);
  finiteNumber(ar, e.effortMs);
  ar(e.destination);
  boundedByte(ar, e.isRetry, 1);
  ar(e.attempts);
  vectorField(ar, e.ambiguousAttempts, [&](AmbiguousAttempt& earlier) {
    ar(earlier.zone);
    finiteNumber(ar, earlier.sentMs);
  });
}
template <typename Archive>
void fields(Archive& ar, OutcomeEvent& e) {
  ar(e.id, e.attempt, e.endpoint);
  boundedByte(ar, e.outcome, static_cast<int>(Outcome::kNotSent));
  boundedByte(ar, e.completed, 1);
  ar(e.retryAfterMs);
  bool hasLimit = e.report.limitPerSecond.has_value();
  boundedByte(ar, hasLimit, 1);
  if (!hasLimit) return;
  if (!e.report.limitPerSecond) e.report.limitPerSecond = 0;
  finiteNumber(ar, *e.report.limitPerSecond);
}
template <typename Archive>
void fields(Archive& ar, EndpointListEvent& e) {
  boundedByte(ar, e.kind, static_cast<int>(ListUpdateKind::kError));
  vectorField(ar, e.entries, [&](EndpointInfo& entry) {
    ar(entry.endpoint, entry.zone, entry.kind, entry.destination);
    boundedByte(ar, entry.state, static_cast<int>(EndpointState::kRemoved));
    finiteNumber(ar, entry.rating);
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
  finiteNumber(ar, a.timeoutMs);
}
template <typename Archive>
void fields(Archive& ar, RejectAction& a) {
  ar(a.id);
  finiteNumber(ar, a.retryAfterMs);
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
  finiteNumber(ar, a.delayMs);
  ar(a.token);
}
template <typename Archive>
void fields(Archive& ar, WatchEndpointListAction& a) {
  boundedByte(ar, a.active, 1);
}
template <typename Archive>
void fields(Archive& ar, CloseIdleConnectionsAction& a) {
  ar(a.endpoint);
}

template <typename Variant, std::size_t... I>
void emplaceAt(std::size_t index, Variant& value, std::index_sequence<I...>) {
  ((I == index ? static_cast<void>(value.template emplace<I>()) : static_cast<void>(0)), ...);
}
template <typename Archive, typename Variant>
void variantField(Archive& ar, Variant& value) {
  constexpr std::size_t kKinds = std::variant_size_v<Variant>;
  std::size_t kind = value.index();
  boundedByte(ar, kind, static_cast<int>(kKinds) - 1);
  if constexpr (kIsInput<Archive>) emplaceAt(kind, value, std::make_index_sequence<kKinds>());
  std::visit([&](auto& alternative) { fields(ar, alternative); }, value);
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

// ---- descriptions for the log ----
std::string exactText(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.17g", value);
  return text;
}
std::string textOf(const RequestEvent& e) {
  return "request " + e.id + " class " + std::to_string(e.classIndex) + " to " +
         std::to_string(e.destination);
}
std::string textOf(const OutcomeEvent& e) {
  constexpr const char* kNames[] = {"success",        "failure", "rejected",  "timeout",
                                    "connect failed", "reset",   "cancelled", "not sent"};
  return "outcome " + e.id + " " + kNames[static_cast<int>(e.outcome)] + " of " + e.endpoint;
}
std::string textOf(const EndpointListEvent& e) {
  return "endpoint list, size " + std::to_string(e.entries.size());
}
std::string textOf(const TimerEvent& e) { return "timer " + std::to_string(e.token); }
std::string textOf(const ClientDisconnectEvent& e) { return "client disconnect " + e.id; }
std::string text(const SendAction& a) {
  return "send " + a.id + " to " + a.endpoint + " timeout " + exactText(a.timeoutMs);
}
std::string text(const RejectAction& a) {
  return "reject " + a.id + ", retry after " + exactText(a.retryAfterMs);
}
std::string text(const FailAction& a) { return "fail " + a.id; }
std::string text(const CancelAction& a) { return "cancel " + a.id + " attempt " + std::to_string(a.attempt); }
std::string text(const TimerAction& a) {
  return "timer " + std::to_string(a.token) + " in " + exactText(a.delayMs);
}
std::string text(const WatchEndpointListAction& a) {
  return a.active ? "watch the endpoint list" : "stop watching the endpoint list";
}
std::string text(const CloseIdleConnectionsAction& a) { return "close idle connections to " + a.endpoint; }

// Ids come from clients or peers and may contain control characters; replaces these to keep one log line.
std::string printable(std::string text) {
  text.resize(std::min(text.size(), kMaxTextLength));
  for (char& c : text)
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) c = '_';
  return text;
}

}  // namespace

// The archives take non-const references for writing too.
std::string encodeEvents(double nowMs, const std::vector<Event>& events) {
  std::string bytes;
  BufferOutputArchive out(bytes);
  out(nowMs, static_cast<std::uint32_t>(events.size()));
  for (const Event& e : events) variantField(out, const_cast<Event&>(e));
  return bytes;
}
std::string encodeActions(const std::vector<Action>& actions) {
  std::string bytes;
  BufferOutputArchive out(bytes);
  out(static_cast<std::uint32_t>(actions.size()));
  for (const Action& a : actions) variantField(out, const_cast<Action&>(a));
  return bytes;
}
bool decodeEvents(std::string_view bytes, Batch& batch) {
  return readWhole(bytes, [&](BufferInputArchive& in) {
    finiteNumber(in, batch.nowMs);
    vectorField(in, batch.events, [&](Event& e) { variantField(in, e); });
  });
}
bool decodeActions(std::string_view bytes, std::vector<Action>& actions) {
  return readWhole(bytes, [&](BufferInputArchive& in) {
    vectorField(in, actions, [&](Action& a) { variantField(in, a); });
  });
}

std::string textOf(const Batch& batch) {
  std::string all = "at " + exactText(batch.nowMs);
  for (const Event& e : batch.events) {
    if (all.size() > kMaxTextLength) break;
    all += "; ";
    all += std::visit([](const auto& alternative) { return textOf(alternative); }, e);
  }
  return printable(std::move(all));
}
std::string textOf(const Action& action) {
  return printable(std::visit([](const auto& alternative) { return text(alternative); }, action));
}

}  // namespace myrtleloft
