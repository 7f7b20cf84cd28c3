// The record that this node writes about itself.

#pragma once

#include <optional>

#include "amaranthlatch/membership/event.h"
#include "amaranthlatch/membership/options.h"

namespace amaranthlatch::membership::details {

// The record as it is before the first event.
Member InitialRecord(const Options& options);

// Computes successors of the own record. Every function returns the record to publish next, or
// none if it stays as it is.
class OwnRecord {
 public:
  std::optional<Member> SetBackendServer(const Member& current,
                                         const BackendServerAnnounced& announced);
  std::optional<Member> ClearBackendServer(const Member& current);
  std::optional<Member> SetReady(const Member& current, bool ready);
  std::optional<Member> StartDrain(const Member& current) const;
  std::optional<Member> FinishDrain(const Member& current) const;

  // Answer to a record of this node's id that comes from somebody else: a predecessor at this
  // address, or a mark as dead.
  static std::optional<Member> Refute(const Member& current, const Member& claim);
  static std::optional<Member> RaiseIncarnationAbove(const Member& current,
                                                     std::uint64_t incarnation);

 private:
  std::optional<Member> WithDerivedState(Member next, const Member& current) const;

  bool ready = false;
  bool has_backend_server = false;
};

}  // namespace amaranthlatch::membership::details
