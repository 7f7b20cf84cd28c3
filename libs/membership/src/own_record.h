// Maintains the member record that this node publishes about itself.

#pragma once

#include <optional>

#include "amaranthlatch/membership/event.h"
#include "amaranthlatch/membership/options.h"

namespace amaranthlatch::membership::details {

// Returns the record of this node before the first event.
Member InitialRecord(const Options& options);

// Computes new versions of this node's record. Each function returns the record to publish, or
// nothing if the record does not change.
class OwnRecord {
 public:
  std::optional<Member> SetBackendServer(const Member& current,
                                         const BackendServerAnnounced& announced);
  std::optional<Member> ClearBackendServer(const Member& current);
  std::optional<Member> SetReady(const Member& current, bool ready);
  std::optional<Member> StartDrain(const Member& current) const;
  std::optional<Member> FinishDrain(const Member& current) const;

  // Returns a record that overrides `claim`, a record of this node's id that it did not publish: a
  // record of an earlier process at this address, or one that marks this node dead.
  static std::optional<Member> Refute(const Member& current, const Member& claim);
  static std::optional<Member> RaiseIncarnationAbove(const Member& current,
                                                     std::uint64_t incarnation);

 private:
  std::optional<Member> WithDerivedState(Member next, const Member& current) const;

  bool ready = false;
  bool has_backend_server = false;
};

}  // namespace amaranthlatch::membership::details
