#include "simulator_adapter/action_writer.h"

#include <array>
#include <charconv>
#include <variant>

#include "simulator_adapter/wire_names.h"

namespace myrtleloft::wire {
namespace {

class ActionWriter {
 public:
  ActionWriter(std::ostream& out, const std::string& instanceId) : out_(out), instanceId_(instanceId) {}

  void operator()(const SendAction& action) const {
    begin("ROUTE");
    field(kRequestId, action.id);
    field(kEndpoint, action.endpoint);
    if (action.timeoutMs != 0) milliseconds("capMs", action.timeoutMs);
  }
  void operator()(const RejectAction& action) const {
    begin("REFUSE");
    field(kRequestId, action.id);
    if (action.retryAfterMs > 0) milliseconds("comeBackMs", action.retryAfterMs);
  }
  void operator()(const FailAction& action) const {
    begin("END_FAILED");
    field(kRequestId, action.id);
  }
  void operator()(const CancelAction& action) const {
    begin("CALL_OFF");
    field(kRequestId, action.id);
    field(kAttempt, action.attempt);
  }
  void operator()(const TimerAction& action) const {
    begin("ARM");
    milliseconds("spanMs", action.delayMs);
    field(kTimerToken, action.token);
  }
  void operator()(const WatchEndpointListAction& action) const {
    begin("TAIL");
    field("active", action.active ? 1 : 0);
  }
  void operator()(const CloseIdleConnectionsAction& action) const {
    begin("FREE_LINKS");
    field(kEndpoint, action.endpoint);
  }

 private:
  void begin(const char* name) const {
    out_ << name;
    field(kInstanceId, instanceId_);
  }
  template <typename Value>
  void field(const char* name, const Value& value) const {
    out_ << '\t' << name << '=' << value;
  }
  void milliseconds(const char* name, double value) const {
    std::array<char, 32> text{};
    const char* end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 3).ptr;
    out_ << '\t' << name << '=';
    out_.write(text.data(), end - text.data());
  }

  std::ostream& out_;
  const std::string& instanceId_;
};

}  // namespace

void writeAction(std::ostream& out, const std::string& instanceId, const Action& action) {
  std::visit(ActionWriter(out, instanceId), action);
  out << '\n';
}

}  // namespace myrtleloft::wire
