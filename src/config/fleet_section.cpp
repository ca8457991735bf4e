#include <algorithm>

#include "config/sections.h"

namespace myrtleloft {
namespace {

// What these keys ask for is not built yet: each is refused rather than read and forgotten. Lifted by its
// line.
constexpr bool kCopiesBuilt = false, kPopularityBuilt = false;

constexpr std::int64_t kMostCopies = 4;  // further ones cost a write each and survive no likelier failure
constexpr std::int64_t kLeastWarmKb = 16, kMostWarmKb = 64 * 1024, kMostAuditS = 24 * 3600, kAuditS = 30;

void refuseWhereNotBuilt(const Section& s, const char* key, bool built) {
  if (!built && s.has(key)) s.refuse(key, "not built yet, expected to be left out");
}

// "n2=127.0.0.1:7102"; the text says what was expected.
std::string takePeer(const std::string& text, const std::string& relay, FleetPlan& plan) {
  const std::size_t equals = text.find('=');
  const auto address = equals == std::string::npos ? std::nullopt : parseAddress(text.substr(equals + 1));
  const std::string name = text.substr(0, equals);
  if (!address || ntohs(address->raw.sin_port) == 0 || !isFleetName(name))
    return "a relay's name and its address, as in \"n2=10.0.0.5:7101\"";
  if (name == relay) return "other relays than this one";
  if (address->text == plan.listen.text) return "another address than this relay's own";
  for (const FleetPlan::Peer& peer : plan.peers) {
    if (peer.name == name) return "each name once";
    if (peer.address.text == address->text) return "each address once";
  }
  if (plan.peers.size() == kMostPeers) return std::to_string(kMostPeers) + " peers at most";
  plan.peers.push_back({name, *address});
  return "";
}

}  // namespace

void readFleet(Section& s, const std::string& relay, FleetPlan& plan) {
  plan.on = true;
  plan.name = s.text("name").value_or("");
  if (plan.name.empty()) s.refuseMissing("name");
  if (!isFleetName(plan.name))
    s.refuse("name", "expected up to 64 letters, digits, dots, dashes, underscores");
  const std::string listen = s.text("listen").value_or("");
  if (listen.empty()) s.refuseMissing("listen");
  const auto address = parseAddress(listen);
  if (!address) s.refuse("listen", "expected an IPv4 address and port, as in \"10.0.0.4:7101\"");
  plan.listen = *address;
  s.eachText("peers", "a relay's name and its address, as in \"n2=10.0.0.5:7101\"",
             [&](const std::string& text) { return takePeer(text, relay, plan); });
  plan.copies = static_cast<int>(s.whole("copies", 0, kMostCopies).value_or(0));
  if (static_cast<std::size_t>(plan.copies) > plan.peers.size())
    s.refuse("copies", "expected no more than there are peers");
  if (plan.copies > 0 && !kCopiesBuilt) s.refuse("copies", "not built yet, expected 0");
  plan.whenShort = s.choice("when_short", {"refuse", "alone"}).value_or(0) == 1
                       ? FleetPlan::WhenShort::kAlone
                       : FleetPlan::WhenShort::kRefuse;
  s.below("popularity", [](Section& below) {
    below.whole("warm_kb", kLeastWarmKb, kMostWarmKb);
    refuseWhereNotBuilt(below, "warm_kb", kPopularityBuilt);
  });
  s.below("audit", [&](Section& below) {
    plan.auditEveryS = static_cast<int>(below.whole("every_s", 1, kMostAuditS).value_or(kAuditS));
  });
  std::sort(plan.peers.begin(), plan.peers.end(),
            [](const FleetPlan::Peer& a, const FleetPlan::Peer& b) { return a.name < b.name; });
}

}  // namespace myrtleloft
