#include <unistd.h>

#include <iostream>

#include "myrtleloft/command_line.h"
#include "myrtleloft/standard_error.h"

int main(int argc, char** argv) {
  myrtleloft::StandardError err;
  return myrtleloft::runCommandLine(argc, argv, myrtleloft::environmentOf(environ), std::cout, err);
}
