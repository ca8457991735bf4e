// The stand-in for a link, between a dialler and a listener on the hub: each fault does to bytes what it
// says, and no more.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "lab/hub.h"
#include "lab/link_stand_in.h"

using namespace myrtleloft::lab;
using Way = LinkStandIn::Way;

namespace {

struct Wire {
  explicit Wire(std::size_t mostHeld = 256 * 1024) : link(hub, listener(), mostHeld) { dial(); }

  std::string listener() {
    return hub.listen({{},
                       [this](Hub::Id) { ++ends; },
                       [this](Hub::Id id, std::string& in) {
                         far = id;
                         there += std::exchange(in, "");
                       },
                       [this](Hub::Id id) { far = id, ++accepted; }});
  }
  void dial() {
    const int before = accepted;
    near = hub.connect(link.address(), {{},
                                        [this](Hub::Id) { ++nearEnds; },
                                        [this](Hub::Id, std::string& in) { back += std::exchange(in, ""); }});
    until([&] { return accepted > before; });
  }
  template <typename Done>
  void until(const Done& done) {
    REQUIRE(hub.run([&] { return link.turn(), done(); }, 20000));
  }
  // Long enough for bytes to come through, were they let.
  void rest() {
    hub.run([&] { return link.turn(), false; }, 30);
  }

  Hub hub;
  std::string there, back;
  Hub::Id near = 0, far = 0;
  int accepted = 0, ends = 0, nearEnds = 0;
  LinkStandIn link;
};

}  // namespace

TEST_CASE("without a fault, bytes and the end of a connection pass both ways") {
  Wire w;
  w.hub.send(w.near, "hello");
  w.until([&] { return w.there == "hello"; });
  w.hub.send(w.far, "there");
  w.until([&] { return w.back == "there"; });
  w.hub.send(w.near, "last");
  w.hub.close(w.near);
  w.until([&] { return w.ends == 1; });
  CHECK(w.there == "hellolast");
  CHECK(w.link.connections() == 0);
}

TEST_CASE("a cut one way holds its bytes and the word of the end; the other way goes on") {
  Wire w;
  w.link.set(Way::kThere, {.holds = true});
  w.hub.send(w.near, "held");
  w.hub.send(w.far, "goes");
  w.until([&] { return w.back == "goes" && w.link.held() == 4; });
  w.hub.close(w.near);
  w.rest();
  CHECK(w.there == "");
  CHECK(w.ends == 0);
  w.link.heal();
  w.until([&] { return w.ends == 1; });
  CHECK(w.there == "held");
}

TEST_CASE("what is lost on a connection is never followed by more: it is reset when the link is back") {
  Wire w;
  w.link.set(Way::kThere, {.drops = true});
  w.hub.send(w.near, "lost");
  w.rest();
  CHECK(w.nearEnds == 0);
  w.link.heal();
  w.until([&] { return w.ends == 1 && w.nearEnds == 1; });
  CHECK(w.there == "");
  w.dial();
  w.hub.send(w.near, "new");
  w.until([&] { return w.there == "new"; });
}

TEST_CASE("a delay and a throttle keep bytes back, and keep their order") {
  Wire w;
  w.link.set(Way::kThere, {.delayMs = 1e9});
  w.hub.send(w.near, "slow");
  w.until([&] { return w.link.held() == 4; });
  w.rest();
  CHECK(w.there == "");
  Wire t;
  t.link.set(Way::kThere, {.bytesPerS = 0.001});
  t.hub.send(t.near, "abcdefgh");
  t.until([&] { return t.link.held() == 8; });
  t.rest();
  CHECK(t.there == "");
  t.link.set(Way::kThere, {.bytesPerS = 500});
  t.until([&] { return t.there.size() == 8; });
  CHECK(t.there == "abcdefgh");
}

TEST_CASE("a reset comes in the middle of what is sent") {
  Wire w;
  w.link.set(Way::kThere, {.resetAfter = 7});
  w.hub.send(w.near, "frame1");
  w.until([&] { return w.there == "frame1"; });
  w.hub.send(w.near, "frame2");
  w.until([&] { return w.nearEnds == 1 && w.ends == 1; });
  CHECK(w.there.size() <= 7);  // RST may overtake the last byte
  w.there.clear();
  w.dial();
  w.hub.send(w.near, "frame3frame4");
  w.until([&] { return w.there == "frame3frame4"; });  // once only
}

TEST_CASE("one bit is spoilt, at its byte, once") {
  Wire w;
  w.link.set(Way::kBack, {.spoilAfter = 4});
  w.hub.send(w.far, "abc");
  w.until([&] { return w.back == "abc"; });
  w.hub.send(w.far, "defabc");
  w.until([&] { return w.back.size() == 9; });
  CHECK(w.back == std::string("abcd") + static_cast<char>('e' ^ 0x10) + "fabc");
}

TEST_CASE("an earlier connection's bytes come again on the next, at the place told") {
  Wire w;
  w.hub.send(w.near, "first");
  w.until([&] { return w.there == "first"; });
  w.hub.close(w.near);
  w.until([&] { return w.ends == 1 && w.link.connections() == 0; });
  w.link.set(Way::kThere, {.repeatAfter = 2});
  w.there.clear();
  w.dial();
  w.hub.send(w.near, "next");
  w.until([&] { return w.there.size() == 9; });
  CHECK(w.there == "nefirstxt");
}

TEST_CASE("what it holds is bounded, and all of it comes when the link is back") {
  constexpr std::size_t kBound = 4096, kSent = 8 * 1024 * 1024;
  Wire w(kBound);
  w.link.set(Way::kThere, {.holds = true});
  w.hub.send(w.near, std::string(kSent, 'x'));
  w.until([&] { return w.link.held() >= kBound; });
  w.rest();
  CHECK(w.link.held() < kBound + 65536 + 1);  // one reading of the hub
  CHECK(w.hub.queued(w.near) > 0);            // the sender's window is full
  w.link.heal();
  w.until([&] { return w.there.size() == kSent; });
}
