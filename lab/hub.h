// The lab's own loop: peers on loopback that speak just as much HTTP/1.1 as a script needs. It shares no code
// with the relay, so that a fault of the relay's parser or loop cannot hide in it.
//
//   Hub hub;
//   const std::string address = hub.listen({[&](Hub::Id from, const Message& m) { hub.send(from, "HTTP/1.1
//   ..."); }}); const Hub::Id peer = hub.connect(address, {...}); hub.run([&] { return done; }, 2000);   //
//   false: not done after 2 s
//
// One thread. A message is whole when as many bytes came as its Content-Length says.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace myrtleloft::lab {

struct Message {
  std::string start;                           // "POST /inbox HTTP/1.1", "HTTP/1.1 202 Accepted"
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string header(const std::string& name) const {
    const auto at = headers.find(name);
    return at == headers.end() ? "" : at->second;
  }
};

class Hub {
 public:
  using Id = std::uint64_t;
  struct Handler {
    std::function<void(Id, const Message&)> message;
    std::function<void(Id)> closed;               // by the other side, or refused
    std::function<void(Id, std::string&)> bytes;  // in place of `message`: all that came, raw
    std::function<void(Id)> opened = {};          // accepted; nothing has come yet
  };

  Hub() = default;
  Hub(const Hub&) = delete;
  Hub& operator=(const Hub&) = delete;
  ~Hub();

  // On a free port of an address of this process alone, so that nobody else is met where an endpoint has
  // been; "" where none can be had.
  std::string listen(Handler handler);
  // Who connects there is refused from now on, and who has connected is reset. The port stays taken, so that
  // nobody else gets it.
  void refuse(const std::string& address);
  void acceptAgain(const std::string& address);
  Id connect(const std::string& address, Handler handler);
  // Takes over a descriptor that is only read.
  Id adopt(int fd, Handler handler);
  void send(Id to, const std::string& bytes);
  // `reset`: with RST instead of FIN.
  void close(Id id, bool reset = false);
  // Paused, it is not read, so that its sender's window fills.
  void pause(Id id, bool paused);
  // Bytes sent to it that the system has not taken.
  std::size_t queued(Id id) const;
  bool open(Id id) const { return peers_.count(id) > 0; }
  // Whether the other side has ended it, though its turn to be told so has not come.
  bool gone(Id id) const;
  bool run(const std::function<bool()>& done, int mostMs);
  // Waits so long for whatever comes, and handles it.
  void turn(int waitMs);

 private:
  struct Peer {
    int fd = -1;
    bool listens = false, connecting = false, refuses = false, paused = false;
    std::string address;  // where it listens, or was accepted
    std::string in, out;
    Handler handler;
  };

  Peer* listenerAt(const std::string& address);
  void onReadable(Id id);
  void parse(Id id);
  void flush(Id id);

  std::map<Id, Peer> peers_;
  Id last_ = 0;
};

}  // namespace myrtleloft::lab
