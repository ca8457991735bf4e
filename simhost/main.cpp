#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    myrtleloft::wire::Host host;
    host.run(std::cin, std::cout);
  } catch (const myrtleloft::wire::WireError& error) {
    std::cerr << "myrtleloft_simhost: " << error.what() << '\n';
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "myrtleloft_simhost: internal error: " << error.what() << '\n';
    return 3;
  }
  return 0;
}
