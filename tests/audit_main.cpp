// `--plans=N`: so many drawn plans instead of a hundred.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "tests/audit_fleet.h"

int main(int argc, char** argv) {
  constexpr std::string_view kPlans = "--plans=";
  for (int i = 1; i < argc; ++i)
    if (std::string_view(argv[i]).starts_with(kPlans))
      myrtleloft::testing::plansAsked() = std::atoi(argv[i] + kPlans.size());
  doctest::Context context(argc, argv);
  return context.run();
}
