// What a backend server repeatedly says of itself, and which of its announcements count.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime {

struct Announcement {
  BackendServer server;
  // Wall time at which its process started, in ms: tells a process from its predecessor.
  std::uint64_t started_at_ms = 0;
  // Rises with every announcement of one process.
  std::uint64_t sequence = 0;
  bool draining = false;

  bool operator==(const Announcement&) const = default;
};

// Takes the newest announcement of the one backend server beside this node. A delayed one of a
// process that has ended or of an earlier state of this one changes nothing.
class AnnouncementOrder {
 public:
  AnnouncementOrder(std::string service, std::string address)
      : service(std::move(service)), address(std::move(address)) {}

  // Fails with kAnnouncementMalformed.
  utils::Result<void> Take(const Announcement& announcement);

  // True if no other process than this one was announced last. `wall_ms` is the wall time: where
  // the start of the process is not known, it began before that.
  bool TakeLeave(std::string_view process, std::uint64_t wall_ms);

  // The newest announcement, none after its process has left.
  const std::optional<Announcement>& Newest() const { return this->newest; }

 private:
  const std::string service;
  const std::string address;
  std::optional<Announcement> newest;
  // Start and sequence of the newest announcement that was taken.
  std::tuple<std::uint64_t, std::uint64_t> last{};
  // Processes that have left, with the latest start at which they can have begun: announcements of
  // theirs with such a start are late ones.
  std::map<std::string, std::uint64_t, std::less<>> left;
};

}  // namespace amaranthlatch::runtime
