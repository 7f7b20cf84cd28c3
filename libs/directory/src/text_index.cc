// Open addressing with linear probing.

#include "amaranthlatch/directory/text_index.h"

#include <bit>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::directory {

namespace {
constexpr unsigned kTagShift = 32;
}  // namespace

TextIndex::TextIndex(std::size_t entries) : slots(std::bit_ceil(2 * entries + 1)) {}

std::uint64_t TextIndex::HashOf(std::string_view text) { return utils::Hash64(text); }

TextIndex::Place TextIndex::PlaceOf(std::uint64_t hash) const {
  return {static_cast<std::size_t>(hash) & (this->slots.size() - 1),
          static_cast<std::uint32_t>(hash >> kTagShift)};
}

}  // namespace amaranthlatch::directory
