#include <unistd.h>

#include <iostream>
#include <string_view>

#include "myrtleloft/relay.h"

int main() {
  myrtleloft::Environment environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string_view text = *entry;
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos)
      environment.emplace(text.substr(0, equals), text.substr(equals + 1));
  }
  try {
    return myrtleloft::Relay(environment, std::cerr).run();
  } catch (const myrtleloft::ConfigError& error) {
    std::cerr << "myrtleloft: " << error.what() << '\n';
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "myrtleloft: " << error.what() << '\n';
    return 3;
  }
}
