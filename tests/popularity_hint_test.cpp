// Tests that hints only restrict, the encoding of the messages, and HintRequester.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <random>

#include "popularity/hint_desk.h"
#include "tests/popularity_traces.h"

using namespace myrtleloft;
using testing::uniform;

namespace {

constexpr double kInf = std::numeric_limits<double>::infinity();
const HintDecay kDecay = HintDecay::of(11000, 3000);

std::optional<AgedValue> randomValue(std::mt19937_64& random, double limit) {
  if (random() % 4 == 0) return std::nullopt;
  return AgedValue{limit * uniform(random), random() % 5 == 0 ? 0 : 30000 * uniform(random)};
}
Hint randomHint(std::mt19937_64& random) {
  return {"e" + std::to_string(random() % 9),
          randomValue(random, 50),
          randomValue(random, 2000),
          randomValue(random, 1.5),
          randomValue(random, 3),
          randomValue(random, 40000),
          randomValue(random, 20)};
}
Restrictions randomRestrictions(std::mt19937_64& random) {
  Restrictions result;
  if (random() % 2) result.ratePerS = 40 * uniform(random);
  if (random() % 2) result.typicalLatencyMs = 1 + 500 * uniform(random);
  if (random() % 3 == 0) result.hintedLatencyMs = 500 * uniform(random);
  result.rejectedShare = uniform(random);
  result.outageProbability = 2 * uniform(random);
  if (random() % 2) result.blockedUntilMs = 100000 * uniform(random);
  if (random() % 2) result.connectionCap = 1 + static_cast<double>(random() % 9);
  result.draining = random() % 2;
  result.rateBounded = random() % 2;
  return result;
}

}  // namespace

TEST_CASE("a hint never relaxes a restriction, and neither order nor repetition of hints matters") {
  CHECK(rc::check("for every hint", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const Hint hint = randomHint(random), other = randomHint(random);
    const Restrictions own = randomRestrictions(random);
    const double nowMs = 50000, sinceReceivedMs = 5000 * uniform(random);
    const Restrictions after = applyHint(hint, own, nowMs, sinceReceivedMs, kDecay);
    RC_ASSERT(isAtLeastAsStrict(after, own));
    RC_ASSERT(after.draining == own.draining);
    RC_ASSERT(after.rateBounded == own.rateBounded);
    RC_ASSERT(after.typicalLatencyMs == own.typicalLatencyMs);
    RC_ASSERT(after.outageProbability <= std::max(own.outageProbability, kMaxHintedOutageProbability));
    RC_ASSERT(after.blockedUntilMs <= std::max(own.blockedUntilMs, nowMs + kDecay.maxWaitMs));
    RC_ASSERT(after.ratePerS >= std::min(own.ratePerS, kDecay.minRatePerS));
    RC_ASSERT(applyHint(hint, after, nowMs, sinceReceivedMs, kDecay) == after);
    RC_ASSERT(applyHint(other, after, nowMs, sinceReceivedMs, kDecay) ==
              applyHint(hint, applyHint(other, own, nowMs, sinceReceivedMs, kDecay), nowMs, sinceReceivedMs,
                        kDecay));
    // An older hint restricts less, and one beyond the maximum age has no effect.
    RC_ASSERT(isAtLeastAsStrict(after, applyHint(hint, own, nowMs, sinceReceivedMs + 4000, kDecay)));
    RC_ASSERT(applyHint(hint, own, nowMs, kDecay.maxAgeMs + 1, kDecay) == own);
  }));
}

TEST_CASE("a fresh hint restricts a relay without knowledge of its own") {
  const Hint hint{"e1",
                  AgedValue{4, 0},
                  AgedValue{300, 0},
                  AgedValue{0.4, 0},
                  AgedValue{2, 0},
                  AgedValue{1500, 500},
                  AgedValue{3, 0}};
  const Restrictions result = applyHint(hint, {}, 1000, 100, kDecay);
  CHECK(result.ratePerS == doctest::Approx(4).epsilon(0.02));
  CHECK(result.hintedLatencyMs == 300);
  CHECK(result.rejectedShare == doctest::Approx(0.4).epsilon(0.02));
  CHECK(result.outageProbability == doctest::Approx(kMaxHintedOutageProbability).epsilon(0.02));
  CHECK(result.blockedUntilMs == 1000 + 900);
  CHECK(result.connectionCap == 3);
  CHECK_FALSE(isAtLeastAsStrict(Restrictions{}, result));
}

TEST_CASE("invalid numbers in a hint have no effect") {
  const Hint hint{"e1",
                  AgedValue{NAN, 0},
                  AgedValue{-3, 0},
                  AgedValue{0.4, NAN},
                  AgedValue{kInf, 0},
                  AgedValue{kInf, 0},
                  AgedValue{2, -5}};
  CHECK(applyHint(hint, {}, 1000, 0, kDecay) == Restrictions{});
}

TEST_CASE("messages survive encoding and decoding, and truncated or overlong ones are rejected") {
  CHECK(rc::check("for every message", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    CountsMessage message{random(), {}, {}};
    for (std::size_t i = random() % (kMaxMessageRegisters + 1); i-- > 0;) {
      CountsRegister r{
          "n" + std::to_string(i), {random(), random() % 9}, random(), 1e12 * uniform(random), {}, {}};
      for (std::size_t e = random() % (kMaxRegisterEntries + 1); e-- > 0;) {
        const double count = 1000 * uniform(random);
        const auto d = static_cast<std::int64_t>(100 - e);
        r.counts.entries.push_back({d, count, count * uniform(random), uniform(random)});
        r.cached.push_back({d, static_cast<std::uint8_t>(random() % 4)});
      }
      r.counts.floor = uniform(random), r.counts.total = 5000;
      message.relays.push_back(r);
      r.relay.clear();
      message.cells.push_back(r);
    }
    const std::string bytes = encoded(message);
    const auto decoded = decodedCounts(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encoded(*decoded) == bytes);  // encoding again rounds no further
    RC_ASSERT(bytes.size() < 32 * 1024);
    for (std::size_t i = 0; i < message.relays.size(); ++i) {
      const CountsRegister &expected = message.relays[i], &actual = decoded->relays[i];
      RC_ASSERT(actual.relay == expected.relay && actual.incarnation == expected.incarnation &&
                actual.version == expected.version);
      RC_ASSERT(actual.cached == expected.cached && actual.counts.floor >= expected.counts.floor);
      for (std::size_t e = 0; e < expected.counts.entries.size(); ++e) {
        const HeavyHitter &a = expected.counts.entries[e], &b = actual.counts.entries[e];
        RC_ASSERT(b.count >= a.count && b.error >= a.error && b.calls <= a.calls);
        RC_ASSERT(b.count <= a.count * 1.000001 && b.calls >= a.calls * 0.999999);
      }
    }
    RC_ASSERT(!decodedCounts(bytes.substr(0, random() % bytes.size())));
    RC_ASSERT(!decodedCounts(bytes + "x"));
    std::string corrupted = bytes;
    corrupted[random() % corrupted.size()] ^= static_cast<char>(1U << (random() % 8));
    if (const auto decodedAgain = decodedCounts(corrupted))
      RC_ASSERT(decodedCounts(encoded(*decodedAgain)).has_value());
    const HintResponse response{random(), 5, {randomHint(random), randomHint(random)}};
    const auto hint = decodedHint(encoded(response));
    RC_ASSERT(hint && hint->response && !hint->request && encoded(*hint->response) == encoded(response));
    const auto request = decodedHint(encoded(HintRequest{7, -3}));
    RC_ASSERT(request && request->request && request->request->destination == -3);
  }));
}

TEST_CASE("messages that no relay would send are rejected") {
  CountsRegister valid;
  valid.relay = "n1";
  for (const std::int64_t d : {1, 2}) {
    valid.counts.entries.push_back({d, 2, 1, 1});
    valid.cached.push_back({d, CachedMark::kLearned});
  }
  const auto decodedRegister = [](const CountsRegister& r) {
    return decodedCounts(encoded(CountsMessage{1, {r}, {}}));
  };
  REQUIRE(decodedRegister(valid));
  CountsRegister r = valid;
  SUBCASE("empty name") { r.relay.clear(); }
  SUBCASE("name too long") { r.relay.assign(kMaxRelayNameBytes + 1, 'n'); }
  SUBCASE("count is not a number") { r.counts.entries[0].count = NAN; }
  SUBCASE("total is infinite as a 32-bit float") { r.counts.total = 1e300; }
  SUBCASE("negative floor") { r.counts.floor = -1; }
  SUBCASE("error above count") { r.counts.entries[0].error = 3; }
  SUBCASE("duplicate destination") { r.counts.entries[1].destination = 1; }
  SUBCASE("marks not sorted") { r.cached[0].destination = 9; }
  SUBCASE("too many entries") {
    for (int d = 3; d < 90; ++d) r.counts.entries.push_back({d, 1, 0, 1});
  }
  CHECK_FALSE(decodedRegister(r));
  CHECK_FALSE(decodedCounts(encoded(CountsMessage{1, std::vector(kMaxMessageRegisters + 1, valid), {}})));
  CHECK_FALSE(decodedHint(""));
  CHECK_FALSE(decodedHint("X12345678"));
  CHECK_FALSE(decodedHint(encoded(HintResponse{1, 1, {Hint{}}})));
}

TEST_CASE("a hint is requested once, and only a timely response of the requested relay is accepted") {
  HintRequester requester;
  const auto request = requester.requestFor(0, 5, {"n2"}, {"n3"});
  REQUIRE(request);
  CHECK(request->peer == "n2");
  CHECK_FALSE(requester.requestFor(100, 5, {"n2"}, {"n3"}));
  CHECK_FALSE(requester.accept(100, "n3", {request->request.requestId, 5, {}}));
  CHECK_FALSE(requester.accept(100, "n2", {request->request.requestId + 1, 5, {}}));
  CHECK_FALSE(requester.accept(100, "n2", {request->request.requestId, 6, {}}));
  CHECK(requester.accept(100, "n2", {request->request.requestId, 5, {}}));
  CHECK_FALSE(requester.accept(100, "n2", {request->request.requestId, 5, {}}));
  const auto repeated = requester.requestFor(HintRequester::kRepeatAfterMs, 5, {}, {"n3"});
  REQUIRE(repeated);
  CHECK(repeated->peer == "n3");
  CHECK_FALSE(
      requester.accept(2 * HintRequester::kRepeatAfterMs, "n3", {repeated->request.requestId, 5, {}}));
  CHECK_FALSE(requester.requestFor(0, 6, {}, {}));
  std::size_t sent = 0;
  for (std::int64_t d = 100; d < 400; ++d) sent += requester.requestFor(20000, d, {"n2"}, {}).has_value();
  CHECK(sent == HintRequester::kMaxInFlight);
}
