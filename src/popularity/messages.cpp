#include "popularity/messages.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <initializer_list>
#include <limits>

#include "journal/archive.h"

namespace myrtleloft {
namespace {

constexpr char kAsk = 'A', kTold = 'T';

float up(double v) {
  const auto f = static_cast<float>(v);
  return f < v ? std::nextafter(f, std::numeric_limits<float>::infinity()) : f;
}
float down(double v) {
  const auto f = static_cast<float>(v);
  return f > v ? std::nextafter(f, 0.0F) : f;
}

bool sound(double v) { return std::isfinite(v) && v >= 0; }
bool soundAll(std::initializer_list<double> vs) { return std::all_of(vs.begin(), vs.end(), sound); }

template <typename T>
bool rising(const std::vector<T>& table) {
  return std::adjacent_find(table.begin(), table.end(), [](const T& a, const T& b) {
           return a.destination >= b.destination;
         }) == table.end();
}

bool sound(const CountsRegister& r, bool cell) {
  return cell == r.relay.empty() && r.relay.size() <= kMostToldName &&
         r.counts.entries.size() <= kMostToldEntries && r.warm.size() <= kMostToldMarks &&
         soundAll({r.asOfWallMs, r.counts.floor, r.counts.total}) && rising(r.counts.entries) &&
         rising(r.warm) && std::all_of(r.counts.entries.begin(), r.counts.entries.end(), [](const auto& e) {
           return soundAll({e.count, e.error, e.calls}) && e.error <= e.count;
         });
}
bool sound(const std::vector<CountsRegister>& registers, bool cell) {
  return registers.size() <= kMostToldRegisters &&
         std::all_of(registers.begin(), registers.end(), [cell](const auto& r) { return sound(r, cell); });
}

bool sound(const std::optional<Aged>& part) { return !part || soundAll({part->value, part->ageMs}); }
bool sound(const Hint& h) {
  return !h.endpoint.empty() && h.endpoint.size() <= kMostToldEndpoint && sound(h.pacePerS) &&
         sound(h.usualMs) && sound(h.refusedShare) && sound(h.ill) && sound(h.waitMs) &&
         sound(h.connectionCap);
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

// ---- the fields, for cereal ----
void save(BufferOutputArchive& ar, const HeavyEntry& e) {
  ar(e.destination, up(e.count), up(e.error), down(e.calls));
}
void load(BufferInputArchive& ar, HeavyEntry& e) {
  float count = 0, error = 0, calls = 0;
  ar(e.destination, count, error, calls);
  e.count = count, e.error = error, e.calls = calls;
}
void save(BufferOutputArchive& ar, const HeavySummary& s) { ar(up(s.floor), up(s.total), s.entries); }
void load(BufferInputArchive& ar, HeavySummary& s) {
  float floor = 0, total = 0;
  ar(floor, total, s.entries);
  s.floor = floor, s.total = total;
}
template <typename Archive>
void serialize(Archive& ar, WarmMark& m) {
  ar(m.destination, m.what);
}
template <typename Archive>
void serialize(Archive& ar, CountsRegister& r) {
  ar(r.relay, r.incarnation.life, r.incarnation.start, r.version, r.asOfWallMs, r.counts, r.warm);
}
template <typename Archive>
void serialize(Archive& ar, CountsMessage& m) {
  ar(m.layout, m.relays, m.cells);
}
template <typename Archive>
void serialize(Archive& ar, HintAsk& a) {
  ar(a.number, a.destination);
}
// A part that is not known is told as a negative age.
void save(BufferOutputArchive& ar, const std::optional<Aged>& part) {
  ar(part ? part->value : 0, part ? part->ageMs : -1.0);
}
void load(BufferInputArchive& ar, std::optional<Aged>& part) {
  Aged aged;
  ar(aged.value, aged.ageMs);
  part = aged.ageMs == -1 ? std::nullopt : std::optional(aged);
}
template <typename Archive>
void serialize(Archive& ar, Hint& h) {
  ar(h.endpoint, h.pacePerS, h.usualMs, h.refusedShare, h.ill, h.waitMs, h.connectionCap);
}
template <typename Archive>
void serialize(Archive& ar, HintTold& t) {
  ar(t.number, t.destination, t.hints);
}

std::string encoded(const CountsMessage& message) { return bytesOf(message); }
std::string encoded(const HintAsk& ask) { return bytesOf(ask, &kAsk); }
std::string encoded(const HintTold& told) { return bytesOf(told, &kTold); }

std::optional<CountsMessage> decodedCounts(std::string_view payload) {
  CountsMessage message;
  if (!read(payload, message) || !sound(message.relays, false) || !sound(message.cells, true))
    return std::nullopt;
  return message;
}

std::optional<HintMessage> decodedHint(std::string_view payload) {
  HintMessage message;
  if (payload.empty()) return std::nullopt;
  const char type = payload.front();
  payload.remove_prefix(1);
  if (type == kAsk && read(payload, message.ask.emplace())) return message;
  message.ask.reset();
  if (type != kTold || !read(payload, message.told.emplace())) return std::nullopt;
  const std::vector<Hint>& hints = message.told->hints;
  if (hints.size() > kMostToldEndpoints ||
      !std::all_of(hints.begin(), hints.end(), [](const Hint& h) { return sound(h); }))
    return std::nullopt;
  return message;
}

}  // namespace myrtleloft
