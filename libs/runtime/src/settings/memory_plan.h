// How the memory of a process is divided among what holds requests and answers.
//
// The parts add up to the limit, so that no mixture of large requests, endless answers and slow
// callers exceeds it.

#pragma once

#include <cstdint>

namespace amaranthlatch::runtime::details {

// A request exists this many times at once: at RESTinio, in the open call, its attempt, the
// message, envelope and frame, and at the client of the backend server.
inline constexpr std::uint64_t kRequestCopies = 7;
// An answer on its way to a slow caller: at RESTinio and in the socket's buffers.
inline constexpr std::uint64_t kHeldAnswerCopies = 2;

struct MemoryPlan {
  // Bytes of requests from their arrival to their answer, and of answers until they are written.
  std::uint64_t request_bytes = 0;
  // Bodies of requests that are queued for the backend server or run there.
  std::uint64_t run_bytes = 0;
  // Bytes of answers of the backend server that are being received.
  std::uint64_t answer_bytes = 0;
  // The same for the register.
  std::uint64_t register_bytes = 0;
  // Large messages that wait for the link, and as many that are being received.
  std::uint64_t link_bytes = 0;
};

// `limit` is lowered to the memory of the machine. `connections` are those that callers may have.
MemoryPlan MakeMemoryPlan(std::uint64_t limit, std::uint64_t connections);

// Without the machine.
MemoryPlan DivideMemory(std::uint64_t limit, std::uint64_t connections);

}  // namespace amaranthlatch::runtime::details
