// Clients of one relay that misbehave, as PROTOCOL and the standing test allow them to: half a request that
// never goes on, a whole one whose client is gone at once, bytes that are no HTTP, several requests at once
// on one connection, connections on which nothing comes.
//
//   RudeClients rude(witness, "n1");
//   rude.setRate(50);                 // of a hundred turns of 20 ms, in how many one comes
//   hub.run([&] { rude.turn(relay.address()); return done; }, 2000);
//
// What they hand in is not the site's business: it is for destination 7, repeatable, and judged like all
// else. One thread; must outlive the hub's last turn.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "lab/fleet_endpoint.h"

namespace myrtleloft::lab {

class RudeClients {
 public:
  RudeClients(FleetWitness& witness, std::string relay);

  void setRate(std::uint32_t ofHundred) { rate_ = ofHundred; }
  // `address`: the relay's; empty: it is away.
  void turn(const std::string& address);

 private:
  static constexpr double kEveryMs = 20, kTimeS = 3;
  static constexpr int kDestination = 7;
  enum class Manner : std::uint8_t { kHalf, kGone, kGarbage, kPipeline, kSilent };
  struct Open {
    std::string half;                  // id of a request that was only begun
    std::vector<std::string> waiting;  // ids of whole ones, in their order
    bool answered = false;             // one of them was
  };

  void come(const std::string& address, Manner manner);
  std::string request(const std::string& id);
  void onMessage(Hub::Id from, const Message& message);
  void onClosed(Hub::Id from);
  void rid(const Open& open);

  FleetWitness& witness_;
  std::string relay_;
  std::mt19937_64 random_;
  std::uint32_t rate_ = 0;
  double nextMs_ = 0;
  int last_ = 0;
  std::map<Hub::Id, Open> open_;
};

}  // namespace myrtleloft::lab
