// Hash functions based on XXH3 from xxHash.

#include "amaranthlatch/utils/hash.h"

#include <xxhash.h>

#include <array>

namespace amaranthlatch::utils {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t CombineHash(std::uint64_t left, std::uint64_t right) {
  const std::array<std::uint64_t, 2> pair = {left, right};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

std::uint64_t RendezvousWeight(std::string_view key, std::string_view candidate) {
  return Hash64(candidate, Hash64(key));
}

}  // namespace amaranthlatch::utils
