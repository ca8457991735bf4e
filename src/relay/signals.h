// Signals as something to read: nothing of the relay runs in a handler.
#pragma once

#include <initializer_list>

#include "net/socket.h"

namespace myrtleloft {

class Signals {
 public:
  // From now on these wait to be read, and SIGPIPE means nothing: whoever read the log may go, and another
  // come. false: they cannot be had.
  bool take(std::initializer_list<int> wanted);
  int fd() const { return fd_.get(); }
  // The next that has come; 0: none.
  int next() const;

 private:
  Fd fd_;
};

}  // namespace myrtleloft
