// Reads the section [fleet].
#include <algorithm>

#include "config/operator_sections.h"

namespace myrtleloft {
namespace {

// Whether these features are implemented. The keys of a feature that is not are rejected rather than ignored.
constexpr bool kReplicationImplemented = false;
constexpr bool kPopularityImplemented = false;

// Each further copy would cost a write, and protect only against less likely failures.
constexpr std::int64_t kMaxCopies = 4;
constexpr std::int64_t kMinWarmKb = 16;
constexpr std::int64_t kMaxWarmKb = std::int64_t{64} * 1024;
constexpr std::int64_t kMaxAuditSeconds = std::int64_t{24} * 3600;
constexpr std::int64_t kDefaultAuditSeconds = 30;
constexpr const char* kExpectedPeer = "a relay's name and its address, as in \"n2=10.0.0.5:7101\"";

void rejectIfNotImplemented(const SectionReader& reader, const char* key, bool implemented) {
  if (!implemented && reader.has(key)) reader.reject(key, "not implemented yet, expected to be omitted");
}

// Adds a peer, as in "n2=127.0.0.1:7102". Returns std::nullopt if the text is valid, otherwise what was
// expected in its place.
std::optional<std::string> addPeer(const std::string& text, const std::string& relay, FleetPlan& plan) {
  const std::size_t equals = text.find('=');
  const auto address = equals == std::string::npos ? std::nullopt : parseAddress(text.substr(equals + 1));
  const std::string name = text.substr(0, equals);
  if (!address || ntohs(address->raw.sin_port) == 0 || !isFleetName(name)) return kExpectedPeer;
  if (name == relay) return "relays other than this one";
  if (address->text == plan.listen.text) return "an address other than this relay's own";
  for (const FleetPlan::Peer& peer : plan.peers) {
    if (peer.name == name) return "each name only once";
    if (peer.address.text == address->text) return "each address only once";
  }
  if (plan.peers.size() == kMaxPeers) return std::to_string(kMaxPeers) + " peers at most";
  plan.peers.push_back({name, *address});
  return std::nullopt;
}

void readIdentity(SectionReader& reader, FleetPlan& plan) {
  plan.name = reader.text("name").value_or("");
  if (plan.name.empty()) reader.rejectMissing("name");
  if (!isFleetName(plan.name))
    reader.reject("name", "expected up to 64 letters, digits, dots, dashes, underscores");
  const std::string listen = reader.text("listen").value_or("");
  if (listen.empty()) reader.rejectMissing("listen");
  const auto address = parseAddress(listen);
  if (!address) reader.reject("listen", "expected an IPv4 address and port, as in \"10.0.0.4:7101\"");
  plan.listen = *address;
}

void readCopies(SectionReader& reader, FleetPlan& plan) {
  plan.copies = static_cast<int>(reader.integer("copies", 0, kMaxCopies).value_or(0));
  if (static_cast<std::size_t>(plan.copies) > plan.peers.size())
    reader.reject("copies", "expected at most the number of peers");
  if (plan.copies > 0 && !kReplicationImplemented) reader.reject("copies", "not implemented yet, expected 0");
  plan.whenShort = reader.choice("when_short", {"refuse", "alone"}).value_or(0) == 1
                       ? FleetPlan::WhenShort::kAlone
                       : FleetPlan::WhenShort::kRefuse;
}

}  // namespace

void readFleet(SectionReader& reader, const std::string& relay, FleetPlan& plan) {
  plan.enabled = true;
  readIdentity(reader, plan);
  reader.forEachText("peers", kExpectedPeer,
                     [&](const std::string& text) { return addPeer(text, relay, plan); });
  readCopies(reader, plan);
  reader.section("popularity", [](SectionReader& popularity) {
    popularity.integer("warm_kb", kMinWarmKb, kMaxWarmKb);
    rejectIfNotImplemented(popularity, "warm_kb", kPopularityImplemented);
  });
  reader.section("audit", [&](SectionReader& audit) {
    plan.auditIntervalS =
        static_cast<int>(audit.integer("every_s", 1, kMaxAuditSeconds).value_or(kDefaultAuditSeconds));
  });
  std::sort(plan.peers.begin(), plan.peers.end(),
            [](const FleetPlan::Peer& left, const FleetPlan::Peer& right) { return left.name < right.name; });
}

}  // namespace myrtleloft
