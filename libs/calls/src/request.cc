// Fields of responses that nodes exchange.

#include "amaranthlatch/calls/request.h"

#include <algorithm>
#include <charconv>

namespace amaranthlatch::calls {

std::optional<utils::Duration> BackendTimeOf(const HttpResponse& response) {
  const auto field =
      std::find_if(response.headers.begin(), response.headers.end(),
                   [](const auto& entry) { return entry.first == kBackendTimeField; });
  if (field == response.headers.end()) {
    return std::nullopt;
  }
  const std::string& text = field->second;
  std::uint32_t microseconds = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), microseconds);
  if (status != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return utils::Duration(microseconds);
}

}  // namespace amaranthlatch::calls
