// Opens a connection to learn whether a server accepts any, and closes it again.

#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

enum class ProbeResult : std::uint8_t {
  // The connection was accepted.
  kAccepted,
  // The host refused: no process listens.
  kRefused,
  // Nothing came back in time, or the network reported another error.
  kNoAnswer,
};

// Calls `done` later on the io_context, exactly once. `greeting` is written before the connection
// is closed, for servers that take a connection without one for a fault.
void ProbeConnection(asio::io_context& context, std::string_view address, utils::Duration limit,
                     std::string_view greeting, std::function<void(ProbeResult)> done);

}  // namespace amaranthlatch::runtime
