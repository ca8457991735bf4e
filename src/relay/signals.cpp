#include "relay/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

namespace myrtleloft {

bool Signals::take(std::initializer_list<int> wanted) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : wanted) sigaddset(&set, signal);
  std::signal(SIGPIPE, SIG_IGN);
  if (::pthread_sigmask(SIG_BLOCK, &set, nullptr) != 0) return false;
  fd_ = Fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  return static_cast<bool>(fd_);
}

int Signals::next() const {
  signalfd_siginfo info;
  const bool come = ::read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info);
  return come ? static_cast<int>(info.ssi_signo) : 0;
}

}  // namespace myrtleloft
