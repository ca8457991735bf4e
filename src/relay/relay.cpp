#include "myrtleloft/relay.h"

#include <poll.h>

#include <new>
#include <string_view>

#include "config/config.h"
#include "relay/impl.h"

namespace myrtleloft {
namespace {

constexpr int kMemoryRestMs = 20;  // before a relay without memory starts anew

}  // namespace

Environment environmentOf(const char* const* entries) {
  Environment environment;
  for (; *entries != nullptr; ++entries) {
    const std::string_view text = *entries;
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos)
      environment.emplace(text.substr(0, equals), text.substr(equals + 1));
  }
  return environment;
}

Relay::Relay(const Environment& environment, std::ostream& log, const RelayParts& parts)
    : log_(log),
      parts_(parts),
      live_(std::make_unique<LiveConfig>(environment)),
      impl_(std::make_unique<Impl>(*live_, log, parts)) {}
Relay::~Relay() = default;

int Relay::run() {
  bool served = false, drains = false;
  for (;;) {
    try {
      if (!impl_) impl_ = std::make_unique<Impl>(*live_, log_, parts_);
      return impl_->run(drains);
    } catch (const std::bad_alloc&) {
      if (impl_) {
        served = served || impl_->served();
        drains = drains || impl_->phase() == Phase::kDraining;
      }
      if (!served) throw;
    }
    try {
      if (impl_) impl_->dismiss();
    } catch (const std::bad_alloc&) {  // not even for that: clients find their connections closed
    }
    impl_.reset();  // gives back the folder, the address and the memory
    ::poll(nullptr, 0, kMemoryRestMs);
  }
}

void Relay::drain() {
  if (impl_) impl_->drain();
}
Relay::Phase Relay::phase() const { return impl_ ? impl_->phase() : Phase::kStarting; }
void Relay::printCounters() const {
  if (impl_) impl_->printCounters();
}

}  // namespace myrtleloft
