// Hints may slow and nothing else; what travels comes back whole or not at all.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <random>

#include "popularity/hint_desk.h"
#include "tests/popularity_traces.h"

using namespace myrtleloft;
using testing::unit;

namespace {

constexpr double kInf = std::numeric_limits<double>::infinity();
const HintFade kFade = HintFade::of(11000, 3000);

std::optional<Aged> drawnPart(std::mt19937_64& random, double most) {
  if (random() % 4 == 0) return std::nullopt;
  return Aged{most * unit(random), random() % 5 == 0 ? 0 : 30000 * unit(random)};
}
Hint drawnHint(std::mt19937_64& random) {
  return {"e" + std::to_string(random() % 9),
          drawnPart(random, 50),
          drawnPart(random, 2000),
          drawnPart(random, 1.5),
          drawnPart(random, 3),
          drawnPart(random, 40000),
          drawnPart(random, 20)};
}
Brakes drawnBrakes(std::mt19937_64& random) {
  Brakes b;
  if (random() % 2) b.pacePerS = 40 * unit(random);
  if (random() % 2) b.usualMs = 1 + 500 * unit(random);
  if (random() % 3 == 0) b.usualHintedMs = 500 * unit(random);
  b.refusedShare = unit(random);
  b.ill = 2 * unit(random);
  if (random() % 2) b.waitUntilMs = 100000 * unit(random);
  if (random() % 2) b.connectionCap = 1 + static_cast<double>(random() % 9);
  b.draining = random() % 2;
  b.bounded = random() % 2;
  return b;
}

}  // namespace

TEST_CASE("no hint frees anybody from anything, and neither order nor repetition matters") {
  CHECK(rc::check("for every hint", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const Hint hint = drawnHint(random), other = drawnHint(random);
    const Brakes own = drawnBrakes(random);
    const double nowMs = 50000, heldMs = 5000 * unit(random);
    const Brakes after = applied(hint, own, nowMs, heldMs, kFade);
    RC_ASSERT(noFreer(after, own));
    RC_ASSERT(after.draining == own.draining);
    RC_ASSERT(after.bounded == own.bounded);
    RC_ASSERT(after.usualMs == own.usualMs);
    RC_ASSERT(after.ill <= std::max(own.ill, kMostHintedIll));
    RC_ASSERT(after.waitUntilMs <= std::max(own.waitUntilMs, nowMs + kFade.mostWaitMs));
    RC_ASSERT(after.pacePerS >= std::min(own.pacePerS, kFade.leastPacePerS));
    RC_ASSERT(applied(hint, after, nowMs, heldMs, kFade) == after);
    RC_ASSERT(applied(other, after, nowMs, heldMs, kFade) ==
              applied(hint, applied(other, own, nowMs, heldMs, kFade), nowMs, heldMs, kFade));
    // The older, the less it slows, and at last not at all.
    RC_ASSERT(noFreer(after, applied(hint, own, nowMs, heldMs + 4000, kFade)));
    RC_ASSERT(applied(hint, own, nowMs, kFade.forgetMs + 1, kFade) == own);
  }));
}

TEST_CASE("a fresh hint slows one that knows nothing") {
  const Hint hint{"e1", Aged{4, 0}, Aged{300, 0}, Aged{0.4, 0}, Aged{2, 0}, Aged{1500, 500}, Aged{3, 0}};
  const Brakes b = applied(hint, {}, 1000, 100, kFade);
  CHECK(b.pacePerS == doctest::Approx(4).epsilon(0.02));
  CHECK(b.usualHintedMs == 300);
  CHECK(b.refusedShare == doctest::Approx(0.4).epsilon(0.02));
  CHECK(b.ill == doctest::Approx(kMostHintedIll).epsilon(0.02));
  CHECK(b.waitUntilMs == 1000 + 900);
  CHECK(b.connectionCap == 3);
  CHECK_FALSE(noFreer(Brakes{}, b));
}

TEST_CASE("what is no number slows nobody") {
  const Hint hint{"e1", Aged{NAN, 0}, Aged{-3, 0}, Aged{0.4, NAN}, Aged{kInf, 0}, Aged{kInf, 0}, Aged{2, -5}};
  CHECK(applied(hint, {}, 1000, 0, kFade) == Brakes{});
}

TEST_CASE("messages come back as they were told, and torn or overlong ones not at all") {
  CHECK(rc::check("for every message", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    CountsMessage m{random(), {}, {}};
    for (std::size_t i = random() % (kMostToldRegisters + 1); i-- > 0;) {
      CountsRegister r{
          "n" + std::to_string(i), {random(), random() % 9}, random(), 1e12 * unit(random), {}, {}};
      for (std::size_t e = random() % (kMostToldEntries + 1); e-- > 0;) {
        const double count = 1000 * unit(random);
        const auto d = static_cast<std::int64_t>(100 - e);
        r.counts.entries.push_back({d, count, count * unit(random), unit(random)});
        r.warm.push_back({d, static_cast<std::uint8_t>(random() % 4)});
      }
      r.counts.floor = unit(random), r.counts.total = 5000;
      m.relays.push_back(r);
      r.relay.clear();
      m.cells.push_back(r);
    }
    const std::string bytes = encoded(m);
    const auto back = decodedCounts(bytes);
    RC_ASSERT(back.has_value());
    RC_ASSERT(encoded(*back) == bytes);  // rounded once, and never again
    RC_ASSERT(bytes.size() < 32 * 1024);
    for (std::size_t i = 0; i < m.relays.size(); ++i) {
      const CountsRegister &was = m.relays[i], &is = back->relays[i];
      RC_ASSERT(is.relay == was.relay && is.incarnation == was.incarnation && is.version == was.version);
      RC_ASSERT(is.warm == was.warm && is.counts.floor >= was.counts.floor);
      for (std::size_t e = 0; e < was.counts.entries.size(); ++e) {
        const HeavyEntry &a = was.counts.entries[e], &b = is.counts.entries[e];
        RC_ASSERT(b.count >= a.count && b.error >= a.error && b.calls <= a.calls);
        RC_ASSERT(b.count <= a.count * 1.000001 && b.calls >= a.calls * 0.999999);
      }
    }
    RC_ASSERT(!decodedCounts(bytes.substr(0, random() % bytes.size())));
    RC_ASSERT(!decodedCounts(bytes + "x"));
    std::string spoilt = bytes;
    spoilt[random() % spoilt.size()] ^= static_cast<char>(1U << (random() % 8));
    if (const auto taken = decodedCounts(spoilt)) RC_ASSERT(decodedCounts(encoded(*taken)).has_value());
    const HintTold told{random(), 5, {drawnHint(random), drawnHint(random)}};
    const auto hint = decodedHint(encoded(told));
    RC_ASSERT(hint && hint->told && !hint->ask && encoded(*hint->told) == encoded(told));
    const auto ask = decodedHint(encoded(HintAsk{7, -3}));
    RC_ASSERT(ask && ask->ask && ask->ask->destination == -3);
  }));
}

TEST_CASE("what no relay would say is not taken") {
  CountsRegister sound;
  sound.relay = "n1";
  for (const std::int64_t d : {1, 2}) {
    sound.counts.entries.push_back({d, 2, 1, 1});
    sound.warm.push_back({d, WarmMark::kLearned});
  }
  const auto taken = [](const CountsRegister& r) {
    return decodedCounts(encoded(CountsMessage{1, {r}, {}}));
  };
  REQUIRE(taken(sound));
  CountsRegister r = sound;
  SUBCASE("no name") { r.relay.clear(); }
  SUBCASE("a long name") { r.relay.assign(kMostToldName + 1, 'n'); }
  SUBCASE("no number") { r.counts.entries[0].count = NAN; }
  SUBCASE("an endless number") { r.counts.total = 1e300; }
  SUBCASE("below nothing") { r.counts.floor = -1; }
  SUBCASE("more error than count") { r.counts.entries[0].error = 3; }
  SUBCASE("one twice") { r.counts.entries[1].destination = 1; }
  SUBCASE("marks in disorder") { r.warm[0].destination = 9; }
  SUBCASE("too many") {
    for (int d = 3; d < 90; ++d) r.counts.entries.push_back({d, 1, 0, 1});
  }
  CHECK_FALSE(taken(r));
  CHECK_FALSE(decodedCounts(encoded(CountsMessage{1, std::vector(kMostToldRegisters + 1, sound), {}})));
  CHECK_FALSE(decodedHint(""));
  CHECK_FALSE(decodedHint("X12345678"));
  CHECK_FALSE(decodedHint(encoded(HintTold{1, 1, {Hint{}}})));
}

TEST_CASE("the desk asks once, and takes only what it asked for, in time, from whom it asked") {
  HintDesk desk;
  const auto ask = desk.met(0, 5, {"n2"}, {"n3"});
  REQUIRE(ask);
  CHECK(ask->peer == "n2");
  CHECK_FALSE(desk.met(100, 5, {"n2"}, {"n3"}));
  CHECK_FALSE(desk.take(100, "n3", {ask->ask.number, 5, {}}));
  CHECK_FALSE(desk.take(100, "n2", {ask->ask.number + 1, 5, {}}));
  CHECK_FALSE(desk.take(100, "n2", {ask->ask.number, 6, {}}));
  CHECK(desk.take(100, "n2", {ask->ask.number, 5, {}}));
  CHECK_FALSE(desk.take(100, "n2", {ask->ask.number, 5, {}}));
  const auto again = desk.met(HintDesk::kAgainMs, 5, {}, {"n3"});
  REQUIRE(again);
  CHECK(again->peer == "n3");
  CHECK_FALSE(desk.take(2 * HintDesk::kAgainMs, "n3", {again->ask.number, 5, {}}));
  CHECK_FALSE(desk.met(0, 6, {}, {}));
  std::size_t out = 0;
  for (std::int64_t d = 100; d < 400; ++d) out += desk.met(20000, d, {"n2"}, {}).has_value();
  CHECK(out == HintDesk::kMostOut);
}
