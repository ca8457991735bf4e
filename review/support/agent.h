// The platform's agent on the relay's machine: discovery and the notices, as the protocol page has them.
//
//   Agent agent(hub, record);
//   agent.setEndpoints({{"s-1", "127.1.2.3:4000", 7}});
//   ...
//   agent.notices("9b1f03aa5c7e2d41");
//
// One thread; must outlive the hub's last turn.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/hub.h"
#include "review/support/record.h"

namespace myrtleloft::review {

struct EndpointEntry {
  std::string uid, address;
  int destination = 0;
  std::string state = "active";  // "active", "leaving"; among changes also "left"
  std::string zone = "edificio-centro", kind = "other-partners";
  double capacityHint = 100;  // calls a second
};

struct Notice {
  double atMs = 0;  // of the steady clock
  std::string result;
};

class Agent {
 public:
  Agent(lab::Hub& hub, Record& record);

  const std::string& address() const { return address_; }
  // Replaces the list; watches are answered with what changed.
  void setEndpoints(std::vector<EndpointEntry> entries);
  // The whole list, in the form of discovery and of `known`.
  std::string wholeList() const;
  // Answers watches that are due; to be called with each turn of the hub.
  void turn();
  // The notices that came for that id.
  std::vector<Notice> notices(const std::string& id) const;

 private:
  struct Watch {
    std::int64_t after = -1;  // -1: the whole list is wanted
    double untilMs = 0;
  };
  struct Change {
    std::int64_t revision = 0;
    EndpointEntry entry;
  };

  void onMessage(lab::Hub::Id from, const lab::Message& message);
  void onNotices(lab::Hub::Id from, const lab::Message& message);
  std::string changesSince(std::int64_t revision) const;

  lab::Hub& hub_;
  Record& record_;
  std::string address_;
  std::int64_t revision_ = 1;
  std::vector<EndpointEntry> entries_;
  std::vector<Change> changes_;
  std::map<lab::Hub::Id, Watch> watches_;
  std::multimap<std::string, Notice> notices_;
};

// An HTTP answer with that status line ("200 OK"), further header lines (each with its end) and body.
std::string httpAnswer(const std::string& status, const std::string& headers = "",
                       const std::string& body = "");

}  // namespace myrtleloft::review
