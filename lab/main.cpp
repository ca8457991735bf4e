// The project's own laboratory: `myrtleloft-lab demo` for now.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "lab/demo.h"

int main(int argc, char** argv) {
  CLI::App app("myrtleloft-lab: the relay among stand-ins, on loopback", "myrtleloft-lab");
  app.require_subcommand(1);
  myrtleloft::lab::DemoOptions options;
  options.program = (std::filesystem::path(argv[0]).parent_path() / "myrtleloft").string();
  CLI::App* demo = app.add_subcommand("demo", "one relay, three destinations, a directory with troubles");
  demo->add_option("--program", options.program, "the relay; without it, the one beside this program");
  demo->add_option("--seconds", options.seconds, "how long it takes")->check(CLI::Range(2.0, 600.0));
  demo->add_option("--rate", options.perSecond, "messages a second")->check(CLI::Range(1.0, 200.0));
  demo->add_option("--told-ms", options.toldMs, "how soon the relay must go by the directory's word")
      ->check(CLI::Range(1.0, 1e5));
  CLI11_PARSE(app, argc, argv);
  return myrtleloft::lab::demo(options, std::cout);
}
