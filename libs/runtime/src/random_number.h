// Random numbers of a process: its boot id, and the seed of its reducers.

#pragma once

#include <sodium.h>

#include <cstdint>

namespace amaranthlatch::runtime::details {

// libsodium must be initialised.
inline std::uint64_t RandomNumber() {
  std::uint64_t number = 0;
  randombytes_buf(&number, sizeof(number));
  return number;
}

}  // namespace amaranthlatch::runtime::details
