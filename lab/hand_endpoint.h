// An endpoint of destination 7 that does nothing by itself: the test answers, half answers, ends or resets
// each call.
//
//   HandEndpoint endpoint(site.hub);
//   site.directory.tell({endpoint.entry()});
//   site.until([&] { return endpoint.calls.size() == 1; });
//   site.hub.send(endpoint.calls[0].from, kDelivered);
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "lab/hub.h"
#include "lab/stand_ins.h"

namespace myrtleloft::lab {

inline constexpr const char* kDelivered = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

class HandEndpoint {
 public:
  struct Call {
    Hub::Id from = 0;  // its connection
    std::string id;
    double atMs = 0;  // when its last byte was seen
  };

  explicit HandEndpoint(Hub& hub, std::string name = "hand") : uid(std::move(name)) {
    address = hub.listen({[this, &hub](Hub::Id from, const Message& m) {
                            calls.push_back({from, m.header("x-request-id"), steadyMs()});
                            if (answers) hub.send(from, kDelivered);
                          },
                          {},
                          {},
                          [this](Hub::Id connection) { connections.push_back(connection); }});
  }
  HandEndpoint(const HandEndpoint&) = delete;
  HandEndpoint& operator=(const HandEndpoint&) = delete;

  Entry entry() const { return {uid, address, "active", 7}; }
  std::uint32_t port() const {
    return static_cast<std::uint32_t>(std::atoi(address.substr(address.rfind(':') + 1).c_str()));
  }
  std::size_t callsOf(const std::string& id) const {
    return static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(), [&](const Call& call) { return call.id == id; }));
  }

  const std::string uid;
  std::string address;
  bool answers = false;  // each call at once with 200
  std::vector<Call> calls;
  std::vector<Hub::Id> connections;  // accepted, the oldest first
};

// A request of any of the site's classes to destination 7.
inline std::string postTo(const std::string& cls, const std::string& id, const std::string& timeoutS = "15") {
  return "POST /" + cls + " HTTP/1.1\r\nX-Request-ID: " + id +
         (cls == "caption-order" ? "\r\nIdempotency-Key: k-" + id : "") + "\r\nX-Timeout: " + timeoutS +
         "\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\nhello";
}

}  // namespace myrtleloft::lab
