#include "journal/records.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "journal/archive.h"

namespace myrtleloft {

// ---- the records' fields, for cereal ----
template <typename Archive>
void serialize(Archive& ar, Doubt& d) {
  ar(d.endpoint, d.zone, d.sentWallMs, d.attempt);
}
template <typename Archive>
void serialize(Archive& ar, OwedRequest& r) {
  ar(r.id, r.key, r.cls, r.tenant, r.destination, r.notAfterWallMs, r.takenWallMs, r.isRetry, r.attempts,
     r.verdict, r.waitMs, r.doubts, r.body);
}
template <typename Archive>
void serialize(Archive& ar, TakenRecord& r) {
  ar(r.owed);
}
template <typename Archive>
void serialize(Archive& ar, AttemptRecord& r) {
  ar(r.id, r.doubt);
}
template <typename Archive>
void serialize(Archive& ar, HarmlessRecord& r) {
  ar(r.id, r.attempt);
}
template <typename Archive>
void serialize(Archive& ar, VerdictRecord& r) {
  ar(r.id, r.verdict, r.waitMs);
}
template <typename Archive>
void serialize(Archive& ar, EndedRecord& r) {
  ar(r.id);
}
template <typename Archive>
void serialize(Archive& ar, ReleasedRecord& r) {
  ar(r.firstSegment);
}
template <typename Archive>
void serialize(Archive& ar, ClassMeaning& c) {
  ar(c.name, c.repeat, c.group, c.memorySpanMs);
}
template <typename Archive>
void serialize(Archive& ar, Meanings& m) {
  ar(m.classes, m.tenants, m.zones);
}
template <typename Archive>
void serialize(Archive& ar, MeaningsRecord& r) {
  ar(r.meanings);
}
template <typename Archive>
void serialize(Archive& ar, ClockRecord& r) {
  ar(r.anchor.machineRun, r.anchor.machineMs, r.anchor.recordedMs);
}

namespace {

enum class Type : char {
  kTaken = 'T',
  kAttempt = 'A',
  kHarmless = 'H',
  kVerdict = 'V',
  kEnded = 'E',
  kReleased = 'R',
  kMeanings = 'N',
  kClock = 'C'
};

template <typename R>
void put(Type type, const R& record, std::string& out) {
  out += static_cast<char>(type);
  TextOut archive(out);
  archive(record);
}

// In place: a request is moved around often enough.
template <typename R>
R* get(TextIn& in, Record& record) {
  R& read = record.emplace<R>();
  in(read);
  return in.left() > 0 ? nullptr : &read;
}

bool known(Verdict verdict) { return verdict <= Verdict::kBounced; }
bool known(const Meanings& meanings) {
  return std::all_of(meanings.classes.begin(), meanings.classes.end(), [](const ClassMeaning& cls) {
    return cls.repeat >= Repeat::kRepeatable && cls.repeat <= Repeat::kOnce && cls.group >= Group::kAll &&
           cls.group <= Group::kCell;
  });
}

}  // namespace

void encode(const OwedRequest& taken, std::string& out) { put(Type::kTaken, taken, out); }
void encode(const AttemptRecord& record, std::string& out) { put(Type::kAttempt, record, out); }
void encode(const HarmlessRecord& record, std::string& out) { put(Type::kHarmless, record, out); }
void encode(const VerdictRecord& record, std::string& out) { put(Type::kVerdict, record, out); }
void encode(const EndedRecord& record, std::string& out) { put(Type::kEnded, record, out); }
void encode(const ReleasedRecord& record, std::string& out) { put(Type::kReleased, record, out); }
void encode(const MeaningsRecord& record, std::string& out) { put(Type::kMeanings, record, out); }
void encode(const ClockRecord& record, std::string& out) { put(Type::kClock, record, out); }

bool decode(std::string_view payload, Record& record) try {
  if (payload.empty()) return false;
  TextIn in(payload.substr(1));
  switch (static_cast<Type>(payload.front())) {
    case Type::kTaken: {
      const auto* taken = get<TakenRecord>(in, record);
      return taken && known(taken->owed.verdict);
    }
    case Type::kAttempt:
      return get<AttemptRecord>(in, record);
    case Type::kHarmless:
      return get<HarmlessRecord>(in, record);
    case Type::kVerdict: {
      const auto* given = get<VerdictRecord>(in, record);
      return given && known(given->verdict);
    }
    case Type::kEnded:
      return get<EndedRecord>(in, record);
    case Type::kReleased:
      return get<ReleasedRecord>(in, record);
    case Type::kMeanings: {
      const auto* told = get<MeaningsRecord>(in, record);
      return told && known(told->meanings);
    }
    case Type::kClock:
      return get<ClockRecord>(in, record);
  }
  return false;
} catch (const std::exception&) {
  return false;
}

std::size_t encodedSize(const Doubt& doubt) {
  return sizeof(std::uint32_t) + doubt.endpoint.size() + sizeof doubt.zone + sizeof doubt.sentWallMs +
         sizeof doubt.attempt;
}

std::size_t encodedSize(const Meanings& meanings) {
  std::string bytes;
  encode(MeaningsRecord{meanings}, bytes);
  return bytes.size();
}

std::size_t encodedSize(const ClockAnchor& anchor) {
  return sizeof(char) + sizeof anchor.machineRun + sizeof anchor.machineMs + sizeof anchor.recordedMs;
}

std::size_t encodedSize(const OwedRequest& r) {
  // The type, four lengths, the fixed fields; a test holds this against `encode`.
  constexpr std::size_t kFixed = 1 + 4 * sizeof(std::uint32_t) + sizeof r.cls + sizeof r.tenant +
                                 sizeof r.destination + sizeof r.notAfterWallMs + sizeof r.takenWallMs + 1 +
                                 sizeof r.attempts + sizeof r.verdict + sizeof r.waitMs;
  std::size_t size = kFixed + r.id.size() + r.key.size() + r.body.size();
  for (const Doubt& doubt : r.doubts) size += encodedSize(doubt);
  return size;
}

}  // namespace myrtleloft
