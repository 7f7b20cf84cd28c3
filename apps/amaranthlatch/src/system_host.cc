// The real machine.

#include "system_host.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <thread>

namespace amaranthlatch::cli {

namespace {
// 128 bits: no two publishers draw the same one.
constexpr std::size_t kPublishIdBytes = 16;
constexpr std::size_t kReadBytes = 65536;
constexpr std::size_t kTimeTextBytes = sizeof("2026-01-01T00:00:00Z");
}  // namespace

void SystemHost::Sleep(utils::Duration duration) { std::this_thread::sleep_for(duration); }

std::string SystemHost::WallTime() const {
  const std::time_t now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, kTimeTextBytes> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

std::string SystemHost::NewPublishId() {
  std::array<unsigned char, kPublishIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * kPublishIdBytes + 1> text{};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return text.data();
}

utils::Result<std::string> SystemHost::ReadFile(const std::string& path,
                                                std::size_t max_bytes) const {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return utils::Fail(utils::ErrorCode::kDocumentNotJson, "the file cannot be read");
  }
  std::string text;
  std::array<char, kReadBytes> part{};
  // One byte above the limit shows that the file is too large.
  while (file && text.size() <= max_bytes) {
    file.read(part.data(),
              static_cast<std::streamsize>(std::min(part.size(), max_bytes + 1 - text.size())));
    text.append(part.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (file.bad()) {
    return utils::Fail(utils::ErrorCode::kDocumentNotJson, "the file cannot be read");
  }
  return text;
}

}  // namespace amaranthlatch::cli
