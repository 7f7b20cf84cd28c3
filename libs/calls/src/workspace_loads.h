// Queued calls that precede those of a workspace at one gate, as the gate last reported them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

class WorkspaceLoads {
 public:
  // `ahead` is unset if the gate does not tell workspaces apart in this class.
  void Record(std::string_view workspace, document::Priority priority,
              std::optional<std::uint32_t> ahead, utils::Timestamp now);

  struct Report {
    std::uint32_t ahead = 0;
    utils::Timestamp at{};
  };
  // Null without a report since `oldest`.
  const Report* Find(std::string_view workspace, document::Priority priority,
                     utils::Timestamp oldest) const;

  // Number of reports kept; all are forgotten if there are more. A queue holds calls of fewer
  // workspaces, and what is forgotten is reported again with the next answer.
  static constexpr std::size_t kMaxReports = 256;

 private:
  // By a hash of workspace and priority.
  std::unordered_map<std::uint64_t, Report> reports;
};

}  // namespace amaranthlatch::calls::details
