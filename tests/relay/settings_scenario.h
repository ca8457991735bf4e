// A real relay process with a client, a discovery directory and two endpoints in two zones. Its settings
// change between two starts, or by SIGHUP. No step depends on timing: an endpoint that withholds its answer
// keeps an attempt in flight, and the test sends a signal only after the endpoint has received the call.
//
//   SettingsScenario scenario;
//   scenario.announce({&scenario.norte});
//   scenario.start(scenario.config(kSiteSettings));
//   scenario.submit("m", "billing-charge");
//   scenario.until("the request is in flight", [&] { return scenario.calls() == 1; });
//   scenario.relay->kill();
//   scenario.start(scenario.config(reorderedClasses()));
#pragma once

#include <doctest/doctest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace myrtleloft::lab {

inline constexpr int kTimeoutMs = 20000, kCallSlots = 7;  // callSlots of kSiteSettings
inline constexpr const char* kStatus = R"({"name":"status-update","targetMs":2000.0,"hardLimitMs":16000.0,)"
                                       R"("worth":1.0,"lateWorth":0.5,"repeat":"repeatable","group":"all",)"
                                       R"("memorySpanMs":5000.0})";

// Returns kSiteSettings with the first text of each pair, which must occur in it, replaced by the second.
inline std::string settings(const std::vector<std::pair<std::string, std::string>>& replacements) {
  std::string text = kSiteSettings;
  for (const auto& [from, to] : replacements) {
    REQUIRE(text.find(from) != std::string::npos);
    replaceAll(text, from, to);
  }
  return text;
}

// Returns kSiteSettings with the first class moved to the end, so that each class has another index.
inline std::string reorderedClasses() {
  return settings({{std::string(kStatus) + ",", ""}, {"}]}", std::string("},") + kStatus + "]}"}});
}

struct SettingsScenario {
  SettingsScenario() {
    std::string name = (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    folder = name;
    std::filesystem::create_directory(folder / "state");
    norte.holds = sur.holds = true;
  }
  ~SettingsScenario() {
    relay.reset();
    std::filesystem::remove_all(folder);
  }
  std::string config(const std::string& settings, const std::string& extra = "") const {
    return R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" + directory.address() +
           R"(","seed":"5","limits":{"sockets":256,"disk_mb":1},)" + extra + "\n\"settings\":" + settings +
           "}";
  }
  void start(const std::string& text) {
    launch(text);
    until("the relay listens", [this] { return relay->ready(); });
    until("the endpoint list is polled", [this] { return directory.heard(); });
  }
  // Starts the process without waiting for it. `operatorText`: content of the operator's file; empty for
  // none.
  void launch(const std::string& text, const std::string& operatorText = "") {
    relay.reset();
    const std::string operatorFile = operatorText.empty() ? "" : (folder / "operator.toml").string();
    if (!operatorText.empty()) std::ofstream(operatorFile) << operatorText;
    relay = std::make_unique<Program>(hub, MYRTLELOFT_PROGRAM, folder.string(), text, operatorFile);
    relay->start();
  }
  void announce(const std::vector<const Endpoint*>& endpoints) {
    std::vector<Entry> list;
    for (const Endpoint* endpoint : endpoints) {
      list.push_back(endpoint->entry());
      list.back().zone = endpoint == &sur ? "sur" : "norte";
    }
    directory.tell(list);
  }
  // Runs the hub until `done` holds; fails the test after kTimeoutMs.
  void until(const char* condition, const std::function<bool()>& done) {
    const bool happened = hub.run(
        [&] {
          directory.turn();
          return done();
        },
        kTimeoutMs);
    INFO(std::string(condition) << ", calls " << calls() << ", notices " << directory.notices().size() << "\n"
                                << (relay ? relay->log() : ""));
    REQUIRE(happened);
  }
  bool logged(const std::string& text) const { return relay->log().find(text) != std::string::npos; }
  // Sends a request; fails the test unless it is accepted.
  void submit(const std::string& id, const std::string& cls, const std::string& tenant = "univ-costa") {
    std::string answer;
    const Hub::Id client = hub.connect(
        relay->address(), {[&](Hub::Id, const Message& message) { answer = message.start; }, {}, {}});
    hub.send(client, "POST /" + cls + " HTTP/1.1\r\nX-Request-ID: " + id +
                         "\r\nX-Timeout: 14\r\nX-Tenant-Id: " + tenant +
                         "\r\nX-Addressing: dest=7\r\nIdempotency-Key: " + id +
                         "\r\nContent-Length: 5\r\n\r\nhello");
    until("the request is answered", [&] { return !answer.empty(); });
    hub.close(client);
    REQUIRE(answer.find(" 202 ") != std::string::npos);
  }
  std::size_t calls() const { return norte.calls.size() + sur.calls.size(); }
  std::size_t callsOf(const std::string& id) const {
    std::size_t sum = 0;
    for (const Endpoint* endpoint : {&norte, &sur})
      for (const Endpoint::Call& call : endpoint->calls) sum += call.id == id;
    return sum;
  }
  bool attemptedOrGivenUp(const std::string& id, std::size_t calls) const {
    return callsOf(id) >= calls || directory.notices().count(id) > 0;
  }
  void reload(const std::string& text) {
    std::ofstream(folder / "config.json") << text;
    relay->signal(SIGHUP);
  }

  std::filesystem::path folder;
  Hub hub;
  Endpoint norte{hub, "a", 7}, sur{hub, "b", 7};
  Directory directory{hub};
  std::unique_ptr<Program> relay;
};

}  // namespace myrtleloft::lab
