// Table of the instances of the decision module that the simulator has started, each with the events of the
// current batch.
//
//   InstanceTable instances;
//   instances.start(Fields("forwarderId=f0\trandomSeed=7"));
//   instances.select(fields).events.push_back(event);      // `fields` name the instance f0
//   instances.decide(nowMs, [&](const std::string& id, const Action& action) { writeAction(out, id, action);
//   });
//
// Not thread-safe. Cost: select is logarithmic in the instances.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "myrtleloft/dispatcher.h"
#include "simulator_adapter/wire_fields.h"

namespace myrtleloft::wire {

// One instance of the decision module.
struct Instance {
  std::unique_ptr<Dispatcher> dispatcher;
  std::vector<ClassSettings> classes;      // by RequestEvent::classIndex
  std::vector<std::string> reportColumns;  // names of the columns of a load report
  std::vector<Event> events;               // events since its last decision
  bool selected = false;                   // whether any line has named it since its last decision
};

class InstanceTable {
 public:
  // Starts an instance with the settings in the fields, replacing one with the same name. Throws WireError if
  // a setting is malformed.
  void start(const Fields& fields);
  // Ends the instance that the fields name. Throws WireError if there is none.
  void retire(const Fields& fields);
  // Returns the instance that the fields name, and selects it for a decision at the end of the batch. Throws
  // WireError if there is none.
  Instance& select(const Fields& fields);
  // Runs a batch on each selected instance, in the order of their names, and passes the actions to
  // `onAction`.
  void decide(double nowMs, const std::function<void(const std::string& id, const Action& action)>& onAction);

 private:
  std::map<std::string, Instance, std::less<>> instances_;
};

}  // namespace myrtleloft::wire
