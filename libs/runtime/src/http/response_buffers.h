// Bound on the memory of all answers that are being received.
//
// A server in trouble may send bytes without end on every connection. The limit of one answer does
// not bound that: it has to allow the largest good answer, many times over.

#pragma once

#include <algorithm>
#include <cstddef>

namespace amaranthlatch::runtime::details {

class ResponseBuffers {
 public:
  explicit ResponseBuffers(std::size_t limit) : limit(limit) {}

  void Open() { ++this->open; }
  void Close(std::size_t held) {
    --this->open;
    this->used -= held;
  }

  // Takes `bytes` for an answer that holds `held` already. Returns false if the limit is exceeded
  // and this answer holds more than its equal share, so that small answers are still received.
  bool Take(std::size_t held, std::size_t bytes) {
    const std::size_t share = this->limit / std::max<std::size_t>(1, this->open);
    if (this->used + bytes > this->limit && held + bytes > share) {
      return false;
    }
    this->used += bytes;
    return true;
  }

 private:
  std::size_t limit;
  std::size_t used = 0;
  // Answers being received.
  std::size_t open = 0;
};

}  // namespace amaranthlatch::runtime::details
