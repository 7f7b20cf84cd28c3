// What commands need of the machine they run on. Tests replace it.

#pragma once

#include <cstddef>
#include <string>

#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::cli {

class Host {
 public:
  virtual ~Host() = default;

  virtual utils::Timestamp Now() const = 0;
  virtual void Sleep(utils::Duration duration) = 0;
  // UTC, for the audit trail only.
  virtual std::string WallTime() const = 0;
  // Different on every call, on every machine.
  virtual std::string NewPublishId() = 0;
  // Fails with kDocumentNotJson where the file cannot be read. The text of a file of more than
  // `max_bytes` is cut off after one byte more.
  virtual utils::Result<std::string> ReadFile(const std::string& path,
                                              std::size_t max_bytes) const = 0;
};

}  // namespace amaranthlatch::cli
