// Runs the decision module for the simulator, over standard input and output. Exit codes: 0 at the end of the
// input, 2 on malformed input, 3 on an internal error. The error message goes to standard error.
#include <exception>
#include <iostream>

#include "simulator_adapter/adapter.h"

namespace {

constexpr int kExitMalformedInput = 2;
constexpr int kExitInternalError = 3;

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    myrtleloft::wire::Adapter adapter;
    adapter.run(std::cin, std::cout);
  } catch (const myrtleloft::wire::WireError& error) {
    std::cerr << "myrtleloft_simulator_adapter: " << error.what() << '\n';
    return kExitMalformedInput;
  } catch (const std::exception& error) {
    std::cerr << "myrtleloft_simulator_adapter: internal error: " << error.what() << '\n';
    return kExitInternalError;
  }
  return 0;
}
