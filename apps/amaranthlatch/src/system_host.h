// The real machine.

#pragma once

#include "amaranthlatch/utils/clock.h"
#include "host.h"

namespace amaranthlatch::cli {

class SystemHost final : public Host {
 public:
  utils::Timestamp Now() const override { return this->clock.Now(); }
  void Sleep(utils::Duration duration) override;
  std::string WallTime() const override;
  std::string NewPublishId() override;
  utils::Result<std::string> ReadFile(const std::string& path,
                                      std::size_t max_bytes) const override;

 private:
  utils::SteadyClock clock;
};

}  // namespace amaranthlatch::cli
