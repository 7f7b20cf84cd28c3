// Fast non-cryptographic 64-bit hashes for comparison and rendezvous hashing. They detect
// accidental differences but do not resist deliberately constructed collisions.

#pragma once

#include <cstdint>
#include <string_view>

namespace amaranthlatch::utils {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

// Combines two hashes; the result depends on their order.
std::uint64_t CombineHash(std::uint64_t left, std::uint64_t right);

// Returns the rendezvous weight of a candidate for a key. The candidate with the highest weight
// owns the key.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view candidate);

}  // namespace amaranthlatch::utils
