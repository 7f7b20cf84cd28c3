// The record of this node and its way into the register.

#pragma once

#include <optional>

#include "amaranthlatch/directory/options.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::directory::details {

class OwnEntry {
 public:
  explicit OwnEntry(const Options& options);

  // The record as it should stand.
  const membership::Member& Record() const { return this->record; }

  // Changes the record; the incarnation rises where more than a later state changes.
  void SetBackendServer(std::string service, std::map<std::string, std::string> labels,
                        std::uint32_t slots);
  void SetState(membership::MemberState state);

  // The register holds this record under the id of this node. One of a predecessor, or an earlier
  // one that arrived late, has to be replaced.
  void OnStored(const membership::Member& stored);

  // The record to write now, if any. Nothing is written before a backend server is known.
  std::optional<membership::Member> Poll(utils::Timestamp now);
  void OnWriteEnded(bool written, utils::Random& random, utils::Timestamp now);
  std::optional<utils::Timestamp> NextWake() const;

 private:
  bool IsWriteDue() const { return this->dirty && !this->writing && !this->record.service.empty(); }

  const Options& options;
  membership::Member record;
  // The register does not hold `record`, as far as this process knows.
  bool dirty = true;
  bool writing = false;
  // The record under way; `record` may have changed since.
  membership::Member written;
  std::uint32_t failures = 0;
  utils::Timestamp next_write{};
};

}  // namespace amaranthlatch::directory::details
