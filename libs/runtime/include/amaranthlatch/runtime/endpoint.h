// Addresses in the form "ip:port"; names are not resolved anywhere.

#pragma once

#include <asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime {

// Accepts "1.2.3.4:80" and "[::1]:80"; fails with kSettingsOutOfRange.
utils::Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

std::string ToString(const asio::ip::tcp::endpoint& endpoint);

}  // namespace amaranthlatch::runtime
