// What commands need of the machine they run on. Tests replace it.

#pragma once

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
  // Fails with kDocumentNotJson where the file cannot be read. The text of a file above the size
  // limit of documents is cut off above the limit.
  virtual utils::Result<std::string> ReadFile(const std::string& path) const = 0;
};

}  // namespace amaranthlatch::cli
