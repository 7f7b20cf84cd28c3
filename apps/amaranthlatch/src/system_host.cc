// The real machine.

#include "system_host.h"

#include <sodium.h>

#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <thread>

#include "amaranthlatch/document/document_limits.h"

namespace amaranthlatch::cli {

namespace {
// 128 bits: no two publishers draw the same one.
constexpr std::size_t kPublishIdBytes = 16;
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

utils::Result<std::string> SystemHost::ReadFile(const std::string& path) const {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return utils::Fail(utils::ErrorCode::kDocumentNotJson, "the file cannot be read");
  }
  // One byte above the limit shows that the file is too large.
  std::string text(document::kMaxDocumentBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    return utils::Fail(utils::ErrorCode::kDocumentNotJson, "the file cannot be read");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

}  // namespace amaranthlatch::cli
