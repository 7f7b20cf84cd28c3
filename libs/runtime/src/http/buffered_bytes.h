// Count of the bytes of requests and answers that a server holds.

#pragma once

#include <cstdint>
#include <memory>
#include <utility>

namespace amaranthlatch::runtime::details {

class BufferedBytes {
 public:
  explicit BufferedBytes(std::uint64_t limit) : limit(limit) {}

  std::uint64_t Limit() const { return this->limit; }
  // Most that one large request may take; the rest is kept for small ones.
  std::uint64_t LargeLimit() const { return this->limit - this->limit / kSmallShare; }

  // Whether a request of `size` bytes, of which `more` are not counted yet, is within the limit.
  bool Fits(std::uint64_t size, std::uint64_t more) const {
    const std::uint64_t allowed = size <= kSmallRequestBytes ? this->limit : this->LargeLimit();
    return this->used <= allowed && more <= allowed - this->used;
  }

  std::uint64_t Used() const { return this->used; }

 private:
  friend class Charge;

  static constexpr std::uint64_t kSmallRequestBytes = 65536;
  static constexpr std::uint64_t kSmallShare = 4;

  std::uint64_t limit;
  std::uint64_t used = 0;
};

// Bytes counted in a BufferedBytes until this is destroyed.
class Charge {
 public:
  Charge() = default;
  explicit Charge(std::shared_ptr<BufferedBytes> buffered) : buffered(std::move(buffered)) {}
  ~Charge() { this->Set(0); }
  Charge(Charge&& other) noexcept
      : buffered(std::move(other.buffered)), bytes(std::exchange(other.bytes, 0)) {}
  Charge& operator=(Charge&& other) noexcept {
    if (this != &other) {
      this->Set(0);
      this->buffered = std::move(other.buffered);
      this->bytes = std::exchange(other.bytes, 0);
    }
    return *this;
  }
  Charge(const Charge&) = delete;
  Charge& operator=(const Charge&) = delete;

  void Set(std::uint64_t count) {
    if (this->buffered != nullptr) {
      this->buffered->used += count;
      this->buffered->used -= this->bytes;
      this->bytes = count;
    }
  }
  std::uint64_t Bytes() const { return this->bytes; }

 private:
  std::shared_ptr<BufferedBytes> buffered;
  std::uint64_t bytes = 0;
};

}  // namespace amaranthlatch::runtime::details
