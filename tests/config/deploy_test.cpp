// The deploy folder must not contain files or values for a single deployment.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "config/operator_file.h"

using namespace myrtleloft;

TEST_CASE("the deploy folder serves any customer: no file of a single deployment, only defaults") {
  std::ifstream file(MYRTLELOFT_DEPLOY "/balancer.toml");
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(text.str().find("\nrun = \"exec build/myrtleloft\" ") != std::string::npos);
  CHECK(OperatorFile().journal.durability == Durability::kProcess);
  for (const auto& entry : std::filesystem::directory_iterator(MYRTLELOFT_DEPLOY))
    if (entry.is_regular_file())
      CHECK_MESSAGE((entry.path().filename() == "balancer.toml" || entry.path().filename() == "example.toml"),
                    entry.path().string());
}
