// Parsing of "ip:port".

#include "amaranthlatch/runtime/endpoint.h"

#include <charconv>
#include <cstdint>

namespace amaranthlatch::runtime {

namespace {

std::string_view StripBrackets(std::string_view host) {
  const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
  return bracketed ? host.substr(1, host.size() - 2) : host;
}

}  // namespace

utils::Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "expected ip:port");
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, status] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (status != std::errc() || end != port_text.data() + port_text.size()) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "the port is not in 0..65535");
  }
  asio::error_code error;
  const auto address =
      asio::ip::make_address(std::string(StripBrackets(text.substr(0, colon))), error);
  if (error) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "the host is not an IP address");
  }
  return asio::ip::tcp::endpoint(address, port);
}

std::string ToString(const asio::ip::tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

}  // namespace amaranthlatch::runtime
