// The lab's loop: what an endpoint that refuses connections for a while keeps.
#include "lab/hub.h"

#include <doctest/doctest.h>

#include <string>

#include "lab/loopback.h"

using namespace myrtleloft::lab;

namespace {

constexpr int kPatienceMs = 5000;

struct Listener {
  Listener() {
    address = hub.listen({{}, {}, {}, [this](Hub::Id id) {
                            accepted = id;
                            ++connections;
                          }});
  }
  // Whether a client that connects now is accepted.
  bool accepts() {
    const int before = connections;
    hub.connect(address, {{}, [this](Hub::Id) { ++ends; }, {}});
    const int endsBefore = ends;
    hub.run([&] { return connections > before || ends > endsBefore; }, kPatienceMs);
    return connections > before;
  }

  Hub hub;
  std::string address;
  Hub::Id accepted = 0;
  int connections = 0, ends = 0;
};

}  // namespace

// A play's endpoint lost its port for good where a connection of it lingered, and another lab's endpoint got
// its calls: the one called requests lost, the other their calls strangers.
TEST_CASE("an endpoint that refuses connections has its address again, though a connection lingers there") {
  Listener listener;
  REQUIRE(listener.accepts());
  listener.hub.close(listener.accepted);
  REQUIRE(listener.hub.run([&] { return listener.ends == 1; }, kPatienceMs));

  listener.hub.refuse(listener.address);
  CHECK_FALSE(listener.accepts());
  listener.hub.acceptAgain(listener.address);
  CHECK(listener.accepts());
}

TEST_CASE("a hub listens on an address that no other process of the lab has") {
  Listener listener;
  CHECK(listener.address.starts_with(processHost(2) + ":"));
  CHECK_FALSE(listener.address.starts_with("127.0.0.1:"));
}
