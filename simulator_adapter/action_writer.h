// Writes the actions of the decision module as lines of the simulator's wire format.
//
//   writeAction(out, "forwarder_0", RejectAction{"ae5a", 250});
//   // REFUSE<tab>forwarderId=forwarder_0<tab>corr=ae5a<tab>comeBackMs=250.000
//
// No state; as thread-safe as the stream. Cost: linear in the line.
#pragma once

#include <ostream>
#include <string>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft::wire {

// Writes one line with its line break, without flushing. Times are written in ms with three decimals.
void writeAction(std::ostream& out, const std::string& instanceId, const Action& action);

}  // namespace myrtleloft::wire
