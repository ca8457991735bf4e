// Clocks that stand still until somebody moves them.
#pragma once

#include <string>

#include "net/clock.h"

namespace myrtleloft::lab {

struct HandClock : Clock {
  double steadyMs() const override { return nowMs; }
  double wallMs() const override { return wall + nowMs; }
  double machineMs() const override { return machine + nowMs; }
  std::string machineRun() const override { return run; }

  double nowMs = 0, wall = 1e12, machine = 5e6;
  std::string run = "first";
};

}  // namespace myrtleloft::lab
