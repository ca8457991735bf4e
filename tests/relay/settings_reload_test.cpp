// Reloads the real relay's configuration by SIGHUP, with changed or faulty settings: only the discovery
// address changes at run time.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/relay/settings_scenario.h"

using namespace myrtleloft::lab;

TEST_CASE("SIGHUP with changed settings applies only the discovery address and logs the first changed key") {
  SettingsScenario scenario;
  Directory second(scenario.hub);
  scenario.norte.release();
  scenario.announce({&scenario.norte});
  second.tell({scenario.norte.entry()});
  scenario.start(scenario.config(kSiteSettings));
  std::string changed = scenario.config(settings({{"billing-charge", "mail"}}), "\"unknown\": 1,");
  replaceAll(changed, scenario.directory.address(), second.address());
  scenario.reload(changed);
  scenario.until("the relay polls the new discovery address", [&] {
    second.turn();
    return second.heard();
  });
  CHECK(scenario.logged("configuration reloaded, discovery at " + second.address()));
  CHECK(scenario.logged("settings.classes[2].name (line 2, column "));
  CHECK(scenario.logged("has changed: needs a restart, all running settings stay in effect"));
  scenario.submit("c", "billing-charge");
  scenario.until("the request of the class billing-charge is sent",
                 [&] { return scenario.callsOf("c") == 1; });

  // With the former settings no restart is needed: a different `known` or `seed` does not count as a change.
  const std::string before = scenario.relay->log();
  std::string withNewSeed = scenario.config(kSiteSettings, R"("known":{"rev":1,"all":true,"targets":[]},)");
  replaceAll(withNewSeed, R"("seed":"5")", R"("seed":"77")");
  scenario.reload(withNewSeed);
  scenario.until("the configuration is reloaded", [&] {
    second.turn();
    return scenario.relay->log().find("discovery at " + scenario.directory.address(), before.size()) !=
           std::string::npos;
  });
  CHECK(scenario.relay->log().find("needs a restart", before.size()) == std::string::npos);
}

TEST_CASE("SIGHUP with a faulty file changes nothing and logs the fault with its line and column") {
  struct Fault {
    std::string from;
    std::string replacement;
    std::string logText;
  };
  const std::vector<Fault> faults = {
      {R"("maxOpen":112)", R"("maxOpen":"many")",
       "settings.limits.maxOpen: not a whole number: 'many' (line 2, column "},
      {R"("maxOpen":112,)", "", "settings.limits.maxOpen: must be above 0 (line 2, column "},
      {R"("seed")", "seed", "BALANCER_CONFIG: parse error at line 1, column "}};
  SettingsScenario scenario;
  Directory second(scenario.hub);
  scenario.norte.release();
  scenario.announce({&scenario.norte});
  scenario.start(scenario.config(kSiteSettings));
  for (const Fault& fault : faults) {
    std::string text = scenario.config(kSiteSettings);
    replaceAll(text, scenario.directory.address(), second.address());
    REQUIRE(text.find(fault.from) != std::string::npos);
    replaceAll(text, fault.from, fault.replacement);
    scenario.reload(text);
    scenario.until("the fault is logged", [&] {
      return scenario.logged("configuration rejected, the previous one stays in effect: " + fault.logText);
    });
    scenario.submit("c" + std::to_string(fault.logText.size()), "billing-charge");
  }
  scenario.until("all requests are sent", [&] { return scenario.calls() == faults.size(); });
  CHECK_FALSE(second.heard());
  CHECK_FALSE(scenario.logged("discovery at " + second.address()));
}
