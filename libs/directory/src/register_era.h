// Notices that the register came back from an older copy, by the era that it states in its answers.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "amaranthlatch/directory/event.h"

namespace amaranthlatch::directory::details {

// What an answer says about the history of the register.
enum class EraVerdict : std::uint8_t {
  // Nothing new.
  kCurrent = 0,
  // The register has lost records since the answer before.
  kRisen = 1,
  // Given before the register was restored, and received after that was known.
  kOutdated = 2,
};

// Judges the answers of several kinds of requests. At most one request of each kind is under way.
// A register that states no era, or an impossible one, is taken for one that loses nothing.
class RegisterEra {
 public:
  enum class Request : std::uint8_t { kReadConfiguration = 0, kReadMembers = 1, kWrite = 2 };

  EraVerdict Observe(Request request, const std::optional<Era>& stated);

  // The latest era; none before the first answer that states one.
  const std::optional<Era>& Latest() const { return this->latest; }

 private:
  static constexpr std::size_t kRequestKinds = 3;

  std::optional<Era> latest;
  // Whether a request that was under way when the era rose may still be answered.
  std::array<bool, kRequestKinds> may_be_outdated{};
};

}  // namespace amaranthlatch::directory::details
