// Guards against calls to an endpoint of another destination after a start: while no process of the relay
// ran, the address of an endpoint in its cached list was given to that endpoint. Discovery has the change
// when the relay starts, so the relay must ask it before it sends anything.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "lab/hand_endpoint.h"
#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace {

using namespace myrtleloft::lab;
namespace fs = std::filesystem;

constexpr int kPatienceMs = 20000;
constexpr int kSettleMs = 100;
constexpr int kOtherDestination = 8;
constexpr double kListWaitMs = 1000;  // how long a poll of discovery without faults takes at most
constexpr double kTestSlackMs = 400;  // for the start of a process and the turns of the test
const std::array<std::string, 3> kClasses = {"status-update", "caption-order", "billing-charge"};

// A relay of a fleet of `relays`, an endpoint that changes hands, and the one that replaces it.
class Site {
 public:
  explicit Site(int relays) {
    std::string name = (fs::temp_directory_path() / "reused-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    folder_ = name;
    former.status = 429;  // rejects each call, so that no request has been executed
    former.headers = "Retry-After: 10\r\n";
    directory.tell({former.entry()});
    std::string settings = kSiteSettings;
    replaceAll(settings, R"("balancers":1)", R"("balancers":)" + std::to_string(relays));
    relay = std::make_unique<Program>(
        hub, MYRTLELOFT_PROGRAM, name,
        R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" + directory.address() +
            R"(","seed":"5","limits":{"sockets":256,"disk_mb":1},"settings":)" + settings + "}");
    start();
    until("the list is cached", [this] { return fs::exists(fs::path(folder_) / "state" / "members"); });
  }
  ~Site() {
    relay.reset();
    fs::remove_all(folder_);
  }
  void until(const char* what, const std::function<bool()>& done) {
    const bool came = hub.run(
        [&] {
          directory.turn();
          return done();
        },
        kPatienceMs);
    INFO(what << "\n" << relay->log());
    REQUIRE(came);
  }
  void start() {
    relay->start();
    until("the relay listens", [this] { return relay->ready(); });
  }
  // Hands in one request of each class, and waits for their answers.
  void submitEachClass(const std::string& timeoutS = "15") {
    const int before = accepted;
    for (const std::string& requestClass : kClasses) {
      const Hub::Id client = hub.connect(
          relay->address(), {[this](Hub::Id, const Message& answer) {
                               accepted += answer.start.find(" 202 ") != std::string::npos ? 1 : 0;
                             },
                             {},
                             {}});
      hub.send(client, postTo(requestClass, requestClass + std::to_string(accepted), timeoutS));
    }
    until("the requests are accepted",
          [&] { return accepted == before + static_cast<int>(kClasses.size()); });
  }
  // Ends the process once the rejections of its calls are recorded, so that no call may have been executed.
  void killAfterRejections() {
    if (accepted > 0) until("a call is rejected", [this] { return !former.calls.empty(); });
    hub.run([] { return false; }, kSettleMs);
    relay->kill();
    former.status = 200;
    former.headers.clear();
    former.calls.clear();
  }
  // The address of `former` belongs to an endpoint of another destination from now on.
  void reuseAddress() {
    Entry reused = former.entry();
    reused.uid = "c";
    reused.destination = kOtherDestination;
    directory.tell({successor.entry(), reused});
  }

  Hub hub;
  Endpoint former{hub, "a", 7};
  Endpoint successor{hub, "b", 7};
  Directory directory{hub};
  std::unique_ptr<Program> relay;
  int accepted = 0;

 private:
  std::string folder_;
};

}  // namespace

TEST_CASE("after a restart no pending request is sent to an address that another destination has got") {
  Site site(1);
  site.submitEachClass();
  site.killAfterRejections();
  site.reuseAddress();
  site.start();
  site.until("all are delivered",
             [&] { return site.successor.calls.size() + site.former.calls.size() >= kClasses.size(); });
  CHECK(site.former.calls.empty());
  CHECK(site.successor.calls.size() == kClasses.size());
  CHECK(site.directory.notices().empty());
}

// In a large fleet the first poll of a relay that has nothing pending is delayed.
TEST_CASE("after a restart no new request is sent to an address that another destination has got") {
  for (int round = 0; round < 3; ++round) {
    Site site(300);
    site.killAfterRejections();
    site.reuseAddress();
    site.start();
    const double startedMs = steadyMs();
    site.submitEachClass();
    site.until("all are delivered",
               [&] { return site.successor.calls.size() + site.former.calls.size() >= kClasses.size(); });
    CHECK(site.former.calls.empty());
    CHECK(site.successor.calls.size() == kClasses.size());
    CHECK(steadyMs() - startedMs < kListWaitMs);  // the poll is made at once, and ends the wait
  }
}

TEST_CASE("while discovery is silent after a restart, requests are sent by the cached list after a while") {
  Site site(1);
  site.submitEachClass();
  site.killAfterRejections();
  site.directory.become(Directory::Mode::kSilent);
  site.start();
  const double startedMs = steadyMs();
  site.submitEachClass("0.6");  // no time to wait for as long
  site.until("all are sent", [&] { return site.former.calls.size() == 2 * kClasses.size(); });
  CHECK(steadyMs() - startedMs < kListWaitMs + kTestSlackMs);
  CHECK(site.former.calls.front().atMs - startedMs < 0.6e3);
}
