#include <unistd.h>

#include <iostream>
#include <string_view>

#include "myrtleloft/command_line.h"

int main(int argc, char** argv) {
  myrtleloft::Environment environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string_view text = *entry;
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos)
      environment.emplace(text.substr(0, equals), text.substr(equals + 1));
  }
  return myrtleloft::runCommandLine(argc, argv, std::move(environment), std::cout, std::cerr);
}
