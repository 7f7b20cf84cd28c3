// Fast 64-bit hashes for comparison and rendezvous hashing. They resist accidents, not attackers.

#pragma once

#include <cstdint>
#include <string_view>

namespace amaranthlatch::utils {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

// Order-dependent combination of two hashes.
std::uint64_t CombineHash(std::uint64_t left, std::uint64_t right);

// Rendezvous weight of a candidate for a key: the candidate with the highest weight owns the key.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view candidate);

}  // namespace amaranthlatch::utils
