#include "discovery/watch.h"

#include "config/json.h"

namespace myrtleloft {
namespace {

// A watch goes on where the next call comes within 200 ms of the last answer.
constexpr double kAgainMs = 100;
// A change that a silent discovery could not tell counts as told 2 s after the call's wait at the latest.
constexpr int kWaitMs = 10000;
constexpr double kSilenceMs = kWaitMs + 1000.0;
constexpr ClientConnection::AnswerLimits kListLimits{4 * 1024 * 1024, 5000};

}  // namespace

void DiscoveryWatch::start(Changed changed) {
  changed_ = std::move(changed);
  ask();
}

void DiscoveryWatch::fetch() {
  whole_ = true;
  loop_.cancel(timer_);
  connection_.reset();
  ask();
}

void DiscoveryWatch::ask() {
  loop_.cancel(timer_);
  if (!connection_ || !connection_->reusable())
    connection_ = std::make_unique<ClientConnection>(loop_, discovery_, kListLimits);
  if (!connection_->open()) {
    timer_ = loop_.after(kAgainMs, [this] { ask(); });
    return;
  }
  std::string target = "/discovery/hosts";
  if (!whole_ && !set_.empty())
    target += "?after=" + std::to_string(set_.rev()) + "&wait_ms=" + std::to_string(kWaitMs);
  connection_->send(writeRequest("GET", target, discovery_.text, {}, ""),
                    [this](const ClientConnection::Result& result) { onResult(result); });
  timer_ = loop_.after(kSilenceMs, [this] {  // silent: the last list stays, and is asked for again
    connection_.reset();
    ask();
  });
}

void DiscoveryWatch::onResult(const ClientConnection::Result& result) {
  loop_.cancel(timer_);
  if (accept(result)) {
    whole_ = false;
    timer_ = loop_.after(0, [this] { ask(); });
  } else {
    timer_ = loop_.after(kAgainMs, [this] { ask(); });
  }
}

bool DiscoveryWatch::accept(const ClientConnection::Result& result) {
  if (result.end != ClientConnection::End::kAnswered) return false;
  std::string error = "status " + std::to_string(result.answer.status);
  const auto value = result.answer.status == 200 ? json::parse(result.answer.body, error) : std::nullopt;
  const auto list = value ? readList(*value, names_, error) : std::nullopt;
  if (!list) {  // the last list stays
    ++counters_.listFaults;
    if (error != lastError_) log_ << "discovery's list not taken: " << error << std::endl;
    lastError_ = error;  // it is asked for ten times a second: said once is enough
    return false;
  }
  lastError_.clear();
  ListEvent event = set_.apply(*list);
  if (!list->all && event.entries.empty()) return true;
  ++counters_.lists;
  changed_(std::move(event));
  return true;
}

}  // namespace myrtleloft
