// Restarts the real relay on the same state folder with other settings: classes, tenants and zones are
// matched by name, no request of another deployment is sent, and a request that may have been executed is
// retried only if the settings of both starts allow it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <filesystem>
#include <string>
#include <utility>

#include "tests/relay/settings_scenario.h"

using namespace myrtleloft::lab;

TEST_CASE(
    "classes renumbered: a non-idempotent request is not retried by the class that has its number now") {
  SettingsScenario scenario;
  scenario.announce({&scenario.norte});
  scenario.start(scenario.config(kSiteSettings));
  scenario.submit("once", "billing-charge");
  scenario.submit("any", "status-update");
  scenario.until("both are in flight", [&] { return scenario.calls() == 2; });
  scenario.relay->kill();
  scenario.norte.release();
  scenario.start(
      scenario.config(reorderedClasses()));  // number 2, its class before, is now an idempotent class
  scenario.until("the non-idempotent one is given up",
                 [&] { return scenario.attemptedOrGivenUp("once", 2); });
  CHECK(scenario.callsOf("once") == 1);
  CHECK(scenario.directory.notices().count("once") == 1);
  scenario.until("the idempotent one is retried", [&] { return scenario.attemptedOrGivenUp("any", 2); });
  CHECK(scenario.directory.notices().count("any") == 0);
}

TEST_CASE("requests without an attempt are sent under their own class after two changes of the settings") {
  SettingsScenario scenario;
  scenario.announce({&scenario.norte});
  scenario.start(scenario.config(kSiteSettings));
  for (int i = 0; i < kCallSlots; ++i) scenario.submit("s" + std::to_string(i), "status-update");
  scenario.until("all slots are taken", [&] { return scenario.calls() == kCallSlots; });
  scenario.submit("o", "caption-order");
  scenario.submit("c", "billing-charge");
  scenario.relay->kill();
  CHECK(scenario.callsOf("c") == 0);
  // Without an endpoint list the second process makes no attempt.
  std::filesystem::remove(scenario.folder / "state" / "members");
  scenario.directory.tell({});
  scenario.start(scenario.config(reorderedClasses()));
  scenario.relay->kill();
  CHECK(scenario.calls() == kCallSlots);
  scenario.norte.release();
  scenario.announce({&scenario.norte});
  scenario.start(scenario.config(settings({{std::string(kStatus) + ",", ""}})));  // only two classes are left
  for (const char* id : {"o", "c"}) {
    scenario.until("it is sent", [&] { return scenario.attemptedOrGivenUp(id, 1); });
    CHECK(scenario.callsOf(id) == 1);
    CHECK(scenario.directory.notices().count(id) == 0);
  }
  scenario.until("those of the removed class are given up",
                 [&] { return scenario.directory.notices().size() == kCallSlots; });
  CHECK(scenario.calls() == kCallSlots + 2);
}

TEST_CASE(
    "state folder of another deployment: its requests are given up without being sent, new ones are sent") {
  SettingsScenario scenario;
  scenario.announce({&scenario.norte});
  scenario.start(scenario.config(kSiteSettings));
  for (int i = 0; i < kCallSlots; ++i) scenario.submit("s" + std::to_string(i), "status-update");
  scenario.until("all slots are taken", [&] { return scenario.calls() == kCallSlots; });
  scenario.submit("u", "status-update");
  scenario.submit("c", "billing-charge", "liceo-puerto");
  scenario.relay->kill();
  scenario.norte.release();
  // The same numbers of classes, all idempotent, and of tenants: each recorded number is valid here as well.
  scenario.start(scenario.config(settings({{"status-update", "scan"},
                                           {"caption-order", "index"},
                                           {"billing-charge", "mail"},
                                           {"by_key", "repeatable"},
                                           {"\"once\"", "\"repeatable\""},
                                           {"univ-costa", "dinas"},
                                           {"liceo-puerto", "sir"}})));
  scenario.until("all are given up", [&] { return scenario.directory.notices().size() == kCallSlots + 2; });
  for (const auto& [id, result] : scenario.directory.notices()) CHECK_MESSAGE(result == "dead", id);
  CHECK(scenario.calls() == kCallSlots);
  scenario.submit("n", "mail", "sir");
  scenario.until("the new one is sent", [&] { return scenario.callsOf("n") == 1; });
}

TEST_CASE("class made idempotent: a request that may have been executed before is not retried") {
  SettingsScenario scenario;
  scenario.announce({&scenario.norte});
  scenario.start(scenario.config(kSiteSettings));
  scenario.submit("once", "billing-charge");
  scenario.until("it is in flight", [&] { return scenario.calls() == 1; });
  scenario.relay->kill();
  scenario.norte.release();
  scenario.start(scenario.config(settings({{"\"once\"", "\"repeatable\""}})));
  scenario.until("it is retried or given up", [&] { return scenario.attemptedOrGivenUp("once", 2); });
  CHECK(scenario.callsOf("once") == 1);
  CHECK(scenario.directory.notices().count("once") == 1);
  scenario.submit("new", "billing-charge");  // new requests follow the new settings
  scenario.until("a new one is sent", [&] { return scenario.callsOf("new") == 1; });
}

TEST_CASE("zones renumbered: a retry stays within the endpoints that remember its key") {
  const std::pair<std::string, std::string> zoned{R"("by_key","group":"all")", R"("by_key","group":"zone")"};
  SettingsScenario scenario;
  scenario.announce({&scenario.norte});
  scenario.start(scenario.config(settings({zoned})));
  scenario.submit("o", "caption-order");
  scenario.until("it is in flight in norte", [&] { return scenario.norte.calls.size() == 1; });
  scenario.relay->kill();
  scenario.norte.release();
  scenario.sur.release();
  scenario.announce({&scenario.norte, &scenario.sur});
  scenario.start(scenario.config(settings({zoned, {R"(["norte","sur"])", R"(["sur","norte"])"}})));
  scenario.until("it is retried or given up", [&] { return scenario.attemptedOrGivenUp("o", 2); });
  CHECK(scenario.sur.calls.empty());
  CHECK(scenario.norte.calls.size() == 2);
}
