// Open addressing with linear probing.

#include "amaranthlatch/directory/text_index.h"

#include <bit>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::directory {

namespace {
constexpr unsigned kTagShift = 32;
}  // namespace

TextIndex::TextIndex(std::size_t entries) : slots(std::bit_ceil(2 * entries + 1)) {}

TextIndex::Place TextIndex::PlaceOf(std::string_view text) const {
  const std::uint64_t hash = utils::Hash64(text);
  return {static_cast<std::size_t>(hash) & (this->slots.size() - 1),
          static_cast<std::uint32_t>(hash >> kTagShift)};
}

}  // namespace amaranthlatch::directory
