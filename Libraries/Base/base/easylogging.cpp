// The library ships as a source file that each user compiles once.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
