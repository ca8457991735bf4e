// The one name that a decision module built otherwise shows: cmake/audit_tests.cmake names it and the class.
#include "audit/module_cases.h"

namespace myrtleloft {
namespace {

class Variant : public PlayedModule {
 public:
  explicit Variant(const Settings& settings) : module_(settings) {}
  std::vector<Action> onBatch(double nowMs, const std::vector<Event>& events) override {
    return module_.onBatch(nowMs, events);
  }

 private:
  Dispatcher module_;
};

}  // namespace

extern "C" PlayedModule* VARIANT(const Settings& settings) { return new Variant(settings); }

}  // namespace myrtleloft
