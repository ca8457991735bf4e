#include <unistd.h>

#include <iostream>

#include "myrtleloft/command_line.h"

int main(int argc, char** argv) {
  return myrtleloft::runCommandLine(argc, argv, myrtleloft::environmentOf(environ), std::cout, std::cerr);
}
