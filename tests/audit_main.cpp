// `--plans=N` runs N random plans instead of 100.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "tests/audit_fleet.h"

int main(int argc, char** argv) {
  constexpr std::string_view kPlans = "--plans=";
  for (int i = 1; i < argc; ++i)
    if (std::string_view(argv[i]).starts_with(kPlans))
      myrtleloft::testing::planCount() = std::atoi(argv[i] + kPlans.size());
  doctest::Context context(argc, argv);
  return context.run();
}
