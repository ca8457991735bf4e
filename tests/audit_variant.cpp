// The only exported function of a differently built decision module; cmake/audit_tests.cmake sets its name
// and that of the Dispatcher class.
#include "audit/module_cases.h"

namespace myrtleloft {
namespace {

class Variant : public DecisionModule {
 public:
  explicit Variant(const Settings& settings) : module_(settings) {}
  std::vector<Action> onBatch(double nowMs, const std::vector<Event>& events) override {
    return module_.onBatch(nowMs, events);
  }

 private:
  Dispatcher module_;
};

}  // namespace

extern "C" DecisionModule* VARIANT(const Settings& settings) { return new Variant(settings); }

}  // namespace myrtleloft
