#include <sodium.h>

#include <cstdio>

#include "cardamomroute/program.h"

int main(int argc, char** argv) {
  if (sodium_init() < 0) {
    std::fputs("cannot start libsodium\n", stderr);
    return 1;
  }
  return cardamomroute::RunProgram(argc, argv);
}
