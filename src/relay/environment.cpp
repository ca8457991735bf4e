#include <string_view>

#include "myrtleloft/relay.h"

namespace myrtleloft {

Environment environmentOf(const char* const* entries) {
  Environment environment;
  for (; *entries != nullptr; ++entries) {
    const std::string_view text = *entries;
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos)
      environment.emplace(text.substr(0, equals), text.substr(equals + 1));
  }
  return environment;
}

}  // namespace myrtleloft
