// Hash index from texts to the positions of the elements that contain them. It is built anew for
// each version of a configuration, so that building it must be cheap: the texts are not stored, and
// all entries are in one array.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace amaranthlatch::directory {

class TextIndex {
 public:
  // Has room for at most `entries` entries.
  explicit TextIndex(std::size_t entries);

  static std::uint64_t HashOf(std::string_view text);

  // Adds `position` for the text with this hash and returns nothing, unless `has_text(p)` is true
  // for a position `p` that was added before; then returns this one.
  template <typename HasText>
  std::optional<std::uint32_t> Add(std::uint64_t hash, std::uint32_t position, HasText has_text) {
    const Place place = this->PlaceOf(hash);
    const std::size_t slot = this->FindSlot(place, has_text);
    if (this->slots[slot].entry != 0) {
      return this->slots[slot].entry - 1;
    }
    this->slots[slot] = {place.tag, position + 1};
    return std::nullopt;
  }

  // Returns the position that was added for the text, for which `has_text` is true.
  template <typename HasText>
  std::optional<std::uint32_t> Find(std::string_view text, HasText has_text) const {
    const Slot& slot = this->slots[this->FindSlot(this->PlaceOf(HashOf(text)), has_text)];
    if (slot.entry == 0) {
      return std::nullopt;
    }
    return slot.entry - 1;
  }

 private:
  struct Slot {
    // Part of the hash, so that few other texts are compared.
    std::uint32_t tag = 0;
    // Position plus 1; 0 for a free slot.
    std::uint32_t entry = 0;
  };
  struct Place {
    std::size_t slot = 0;
    std::uint32_t tag = 0;
  };

  Place PlaceOf(std::uint64_t hash) const;

  // Returns the slot of the text, or the free slot where it belongs.
  template <typename HasText>
  std::size_t FindSlot(const Place& place, HasText has_text) const {
    std::size_t slot = place.slot;
    while (this->slots[slot].entry != 0 &&
           (this->slots[slot].tag != place.tag || !has_text(this->slots[slot].entry - 1))) {
      slot = (slot + 1) & (this->slots.size() - 1);
    }
    return slot;
  }

  // A power of two, more than twice the number of entries.
  std::vector<Slot> slots;
};

}  // namespace amaranthlatch::directory
