// Age and freshness of the endpoint list: accepted classes, comparable clocks, choice of the initial list.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;

TEST_CASE("accepted classes shrink with the list's age, non-idempotent ones first") {
  CHECK(rc::check("monotone in age, class and state", [] {
    FreshnessTuning tuning;
    tuning.freshMs = *rc::gen::inRange(1, 1000);
    tuning.ageingMs = tuning.freshMs + *rc::gen::inRange(0, 1000);
    tuning.staleMs = tuning.ageingMs + *rc::gen::inRange(0, 1000);
    const FreshnessPolicy policy(tuning);
    const double younger = *rc::gen::inRange(0, 4000), older = younger + *rc::gen::inRange(0, 4000);
    const Freshness a = policy.freshnessOf({true, younger}), b = policy.freshnessOf({true, older});
    RC_ASSERT(a <= b);
    for (const EndpointDirectory::Class& c : kThreeClasses)
      if (policy.accepts(b, c.name, c.idempotency)) RC_ASSERT(policy.accepts(a, c.name, c.idempotency));
    if (policy.accepts(b, "x", Idempotency::kNonIdempotent))
      RC_ASSERT(policy.accepts(b, "x", Idempotency::kIdempotentWithKey));
    if (policy.accepts(b, "x", Idempotency::kIdempotentWithKey))
      RC_ASSERT(policy.accepts(b, "x", Idempotency::kIdempotent));
    RC_ASSERT(policy.retryAfterMs(a) <= policy.retryAfterMs(b));
    RC_ASSERT((policy.retryAfterMs(b) > 0) == (b != Freshness::kFresh));
  }));
  const FreshnessPolicy policy;
  CHECK(policy.freshnessOf({false, 0}) == Freshness::kStale);
  FreshnessTuning overrides;
  overrides.classes = {{"billing-charge", Freshness::kExpired}};
  CHECK(
      FreshnessPolicy(overrides).accepts(Freshness::kExpired, "billing-charge", Idempotency::kNonIdempotent));
  CHECK_FALSE(
      FreshnessPolicy(overrides).accepts(Freshness::kAgeing, "other-charge", Idempotency::kNonIdempotent));
  overrides.rejectsByAge = false;
  CHECK(FreshnessPolicy(overrides).accepts(Freshness::kExpired, "other-charge", Idempotency::kNonIdempotent));
}

TEST_CASE(
    "age follows the machine's clock within one run; after a reboot a wall clock set back makes it unknown") {
  const Stamp then{1e12, 1000, "run"};
  CHECK(ageOf(then, {1e12 - kYear, 4000, "run"}).ms == 3000);
  CHECK(ageOf(then, {1e12 + kYear, 4000, "run"}).ms == 3000);
  CHECK(ageOf(then, {1e12 + kDay, 20, "another"}).ms == kDay);
  CHECK(ageOf(then, {1e12 + kDay, 500, "run"}).ms ==
        kDay);  // the same boot id, but the machine's clock went back
  CHECK_FALSE(ageOf(then, {1e12 - kYear, 20, "another"}).known);
  CHECK(ageOf(then, {1e12 - 500, 20, "another"}).known);  // within a normal correction of the clock
  CHECK_FALSE(ageOf({0, 0, ""}, {1e12, 0, ""}).known);
}

TEST_CASE("the initial source is chosen by revision, completeness and comparable ages") {
  const Stamp now{1e12, 0, ""}, hourAgo{1e12 - kHour, 0, ""}, dayAgo{1e12 - kDay, 0, ""};
  const Stamp future{1e12 + kDay, 0, ""};
  const auto offer = [](std::int64_t rev, const Stamp& confirmedAt, bool complete = true) {
    return ListOffer{true, rev, confirmedAt, complete};
  };
  CHECK(chooseInitialSource({}, {}, now) == InitialSource::kNothing);
  CHECK(chooseInitialSource({}, offer(1, hourAgo), now) == InitialSource::kConfigured);
  CHECK(chooseInitialSource(offer(1, hourAgo), {}, now) == InitialSource::kCached);
  CHECK(chooseInitialSource(offer(9, dayAgo), offer(9, hourAgo), now) == InitialSource::kCached);
  CHECK(chooseInitialSource(offer(9, dayAgo), offer(10, hourAgo), now) == InitialSource::kConfigured);
  CHECK(chooseInitialSource(offer(10, dayAgo), offer(9, hourAgo), now) == InitialSource::kCached);
  // A configured list with a later revision that was written before the cached list was confirmed: the
  // directory was rolled back.
  CHECK(chooseInitialSource(offer(9, hourAgo), offer(10, dayAgo), now) == InitialSource::kCached);
  // The times are not comparable, so the revision decides.
  CHECK(chooseInitialSource(offer(9, future), offer(10, dayAgo), now) == InitialSource::kConfigured);
  // The cached list is truncated, so the later revision is chosen.
  CHECK(chooseInitialSource(offer(9, hourAgo, false), offer(10, dayAgo), now) == InitialSource::kConfigured);
}
