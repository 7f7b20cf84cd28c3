// What a backend server repeatedly says of itself, and which of its announcements count.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "amaranthlatch/directory/withdrawal.h"
#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

struct Announcement {
  BackendServer server;
  // Wall time at which its process started, in ms: tells a process from its predecessor.
  std::uint64_t started_at_ms = 0;
  // Rises with every announcement of one process.
  std::uint64_t sequence = 0;
  bool draining = false;
  // How much longer the server is slow after its start.
  utils::Duration cold_left{};

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
  // the start of the process is not known, it began before that. A departure that is reported again
  // soon is the same withdrawal.
  bool TakeLeave(std::string_view process, std::uint64_t wall_ms);

  // Rejects the announcements that the backend server sent before a withdrawal of which an earlier
  // process of this node was told. True if the newest announcement is one of them and is dropped.
  bool Restore(const directory::Withdrawal& withdrawal);

  // The latest withdrawal taken; none before the first.
  const std::optional<directory::Withdrawal>& LatestWithdrawal() const { return this->withdrawal; }

  // The newest announcement, none after its process has left.
  const std::optional<Announcement>& Newest() const { return this->newest; }

 private:
  const std::string service;
  const std::string address;
  std::optional<Announcement> newest;
  // Start and sequence of the newest announcement that was taken.
  std::tuple<std::uint64_t, std::uint64_t> last{};
  // Hashes of the names of processes that have left, with the latest start at which they can have
  // begun: announcements of theirs with such a start are late ones.
  std::map<std::uint64_t, std::uint64_t> left;
  std::optional<directory::Withdrawal> withdrawal;
  // Wall time of the latest departure, in ms.
  std::uint64_t departed_at_ms = 0;
};

}  // namespace amaranthlatch::runtime
