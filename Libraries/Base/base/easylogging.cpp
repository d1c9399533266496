// easylogging++ is shipped as a source file that must be compiled once into each program.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
