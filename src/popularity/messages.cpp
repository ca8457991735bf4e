#include "popularity/messages.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <initializer_list>
#include <limits>

#include "journal/archive.h"

namespace myrtleloft {
namespace {

constexpr char kRequestType = 'A', kResponseType = 'T';

float roundedUp(double value) {
  const auto rounded = static_cast<float>(value);
  return rounded < value ? std::nextafter(rounded, std::numeric_limits<float>::infinity()) : rounded;
}
float roundedDown(double value) {
  const auto rounded = static_cast<float>(value);
  return rounded > value ? std::nextafter(rounded, 0.0F) : rounded;
}

bool isValid(double value) { return std::isfinite(value) && value >= 0; }
bool areValidNumbers(std::initializer_list<double> values) {
  return std::all_of(values.begin(), values.end(), isValid);
}

template <typename T>
bool isStrictlySorted(const std::vector<T>& table) {
  return std::adjacent_find(table.begin(), table.end(), [](const T& a, const T& b) {
           return a.destination >= b.destination;
         }) == table.end();
}

bool isValid(const CountsRegister& r, bool cell) {
  return cell == r.relay.empty() && r.relay.size() <= kMaxRelayNameBytes &&
         r.counts.entries.size() <= kMaxRegisterEntries && r.cached.size() <= kMaxRegisterMarks &&
         areValidNumbers({r.asOfWallMs, r.counts.floor, r.counts.total}) &&
         isStrictlySorted(r.counts.entries) && isStrictlySorted(r.cached) &&
         std::all_of(r.counts.entries.begin(), r.counts.entries.end(), [](const auto& e) {
           return areValidNumbers({e.count, e.error, e.calls}) && e.error <= e.count;
         });
}
bool isValid(const std::vector<CountsRegister>& registers, bool cell) {
  return registers.size() <= kMaxMessageRegisters &&
         std::all_of(registers.begin(), registers.end(), [cell](const auto& r) { return isValid(r, cell); });
}

bool isValid(const std::optional<AgedValue>& part) {
  return !part || areValidNumbers({part->value, part->ageMs});
}
bool isValid(const Hint& h) {
  return !h.endpoint.empty() && h.endpoint.size() <= kMaxEndpointBytes && isValid(h.ratePerS) &&
         isValid(h.typicalLatencyMs) && isValid(h.rejectedShare) && isValid(h.outageProbability) &&
         isValid(h.retryAfterMs) && isValid(h.connectionCap);
}

template <typename Message>
std::string bytesOf(const Message& message, const char* type = nullptr) {
  std::string bytes;
  if (type) bytes += *type;
  BufferOutputArchive archive(bytes);
  archive(message);
  return bytes;
}
template <typename Message>
bool read(std::string_view payload, Message& message) try {
  BufferInputArchive in(payload);
  in(message);
  return in.left() == 0;
} catch (const std::exception&) {
  return false;
}

}  // namespace

// Field lists for cereal. Their order defines the encoding.
void save(BufferOutputArchive& ar, const HeavyHitter& e) {
  ar(e.destination, roundedUp(e.count), roundedUp(e.error), roundedDown(e.calls));
}
void load(BufferInputArchive& ar, HeavyHitter& e) {
  float count = 0, error = 0, calls = 0;
  ar(e.destination, count, error, calls);
  e.count = count, e.error = error, e.calls = calls;
}
void save(BufferOutputArchive& ar, const HeavyHitterSummary& s) {
  ar(roundedUp(s.floor), roundedUp(s.total), s.entries);
}
void load(BufferInputArchive& ar, HeavyHitterSummary& s) {
  float floor = 0, total = 0;
  ar(floor, total, s.entries);
  s.floor = floor, s.total = total;
}
template <typename Archive>
void serialize(Archive& ar, CachedMark& m) {
  ar(m.destination, m.kinds);
}
template <typename Archive>
void serialize(Archive& ar, CountsRegister& r) {
  ar(r.relay, r.incarnation.life, r.incarnation.start, r.version, r.asOfWallMs, r.counts, r.cached);
}
template <typename Archive>
void serialize(Archive& ar, CountsMessage& m) {
  ar(m.layout, m.relays, m.cells);
}
template <typename Archive>
void serialize(Archive& ar, HintRequest& a) {
  ar(a.requestId, a.destination);
}
// An unknown value is encoded with a negative age.
void save(BufferOutputArchive& ar, const std::optional<AgedValue>& part) {
  ar(part ? part->value : 0, part ? part->ageMs : -1.0);
}
void load(BufferInputArchive& ar, std::optional<AgedValue>& part) {
  AgedValue aged;
  ar(aged.value, aged.ageMs);
  part = aged.ageMs == -1 ? std::nullopt : std::optional(aged);
}
template <typename Archive>
void serialize(Archive& ar, Hint& h) {
  ar(h.endpoint, h.ratePerS, h.typicalLatencyMs, h.rejectedShare, h.outageProbability, h.retryAfterMs,
     h.connectionCap);
}
template <typename Archive>
void serialize(Archive& ar, HintResponse& t) {
  ar(t.requestId, t.destination, t.hints);
}

std::string encoded(const CountsMessage& message) { return bytesOf(message); }
std::string encoded(const HintRequest& request) { return bytesOf(request, &kRequestType); }
std::string encoded(const HintResponse& response) { return bytesOf(response, &kResponseType); }

std::optional<CountsMessage> decodedCounts(std::string_view payload) {
  CountsMessage message;
  if (!read(payload, message) || !isValid(message.relays, false) || !isValid(message.cells, true))
    return std::nullopt;
  return message;
}

std::optional<HintMessage> decodedHint(std::string_view payload) {
  HintMessage message;
  if (payload.empty()) return std::nullopt;
  const char type = payload.front();
  payload.remove_prefix(1);
  if (type == kRequestType && read(payload, message.request.emplace())) return message;
  message.request.reset();
  if (type != kResponseType || !read(payload, message.response.emplace())) return std::nullopt;
  const std::vector<Hint>& hints = message.response->hints;
  if (hints.size() > kMaxResponseHints ||
      !std::all_of(hints.begin(), hints.end(), [](const Hint& h) { return isValid(h); }))
    return std::nullopt;
  return message;
}

}  // namespace myrtleloft
