// In-memory cluster of reducers with a simulated network and a fake log, for directed and
// randomized tests.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/distribution/distribution.h"
#include "amaranthlatch/distribution/message_codec.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::distribution::testing {

nlohmann::json MakeDocument(const std::string& service, std::uint32_t deadline_ms);
nlohmann::json MakeRecord(const std::string& service, std::uint64_t publish,
                          std::uint64_t base_version, std::uint32_t deadline_ms);

// Member view of one node; all nodes of a cluster share one member list.
class FakeMemberView final : public membership::MemberView {
 public:
  FakeMemberView(const std::vector<membership::Member>& members, membership::NodeId self)
      : members(members), self(std::move(self)) {}

  const membership::Member& Self() const override { return *this->Find(this->self); }
  const membership::Member* Find(std::string_view id) const override;
  membership::MemberList ServiceMembers(std::string_view service) const override;
  membership::MemberList ZoneMembers(std::string_view zone) const override;
  membership::MemberList RegionMembers(std::string_view region) const override;
  std::vector<std::string> Zones() const override;
  std::vector<std::string> Regions() const override;
  std::uint64_t Generation() const override { return this->generation; }
  std::size_t Size() const override { return this->members.size(); }

  std::uint64_t generation = 1;

 private:
  using Field = std::string membership::Member::*;
  membership::MemberList Select(Field field, std::string_view value) const;
  std::vector<std::string> DistinctValues(Field field) const;

  const std::vector<membership::Member>& members;
  membership::NodeId self;
};

// One stream of the platform's log.
struct FakeStream {
  std::vector<nlohmann::json> records;
  Offset first_kept = 1;
  Offset Head() const { return this->records.size(); }
};

struct FaultConfig {
  // Probabilities per message between nodes.
  double loss_probability = 0;
  double duplicate_probability = 0;
  utils::Duration max_extra_delay{};
  bool log_down = false;
  bool log_slow = false;
  // Appends take effect but are reported as failed.
  bool log_append_replies_lost = false;
  // Whether two nodes, or a node and the log (null), cannot reach each other.
  std::function<bool(const membership::Member&, const membership::Member*)> is_partitioned;
};

class Cluster {
 public:
  struct Node {
    membership::NodeId id;
    std::unique_ptr<FakeMemberView> view;
    std::unique_ptr<Distribution> reducer;
    // Events are held back until this time.
    utils::Timestamp paused_until{};
    // Last offsets of the current process, to detect decreases. `served` is the highest offset that
    // any process at this address had in force while it was ready.
    Offset held = 0;
    Offset in_force = 0;
    Offset served = 0;
    std::vector<acceptance::Verdict> verdicts;
    bool stopped = false;
    int wakes_this_second = 0;
    utils::Timestamp wake_second{};
    // Newest boot id seen per sender. Messages of older processes are dropped, as the envelope
    // does.
    std::map<std::size_t, std::uint64_t> seen_boots;
  };

  // Zones are named "r<region>z<zone>".
  Cluster(std::uint64_t seed, int regions, int zones, int nodes_per_zone, Options options = {});

  void Run(utils::Duration time);
  // Runs until every live node has the whole log in force; returns false if the limit passes first.
  bool Converge(utils::Duration limit);

  void Publish(const std::string& service, std::uint64_t base_version);
  void Kill(std::size_t index);
  void Start(std::size_t index);
  void Pause(std::size_t index, utils::Duration time);
  // Marks the member as ready or dead and notifies all nodes of the change.
  void SetListed(std::size_t index, bool listed);

  std::vector<Node>& Nodes() { return this->nodes; }
  bool Converged() const;
  std::string Violation() const { return this->violation; }
  utils::Timestamp Now() const { return this->now; }
  std::string Describe() const;
  const membership::Member& MemberAt(std::size_t index) const { return this->members[index]; }

  FaultConfig fault;
  FakeStream config;
  FakeStream snapshots;
  utils::Random random;
  std::uint64_t message_count = 0;

 private:
  struct Delivery {
    std::size_t to = 0;
    std::uint64_t to_boot = 0;
    // Sender, for messages between nodes.
    std::size_t from = 0;
    std::uint64_t from_boot = 0;
    Event event;
  };
  struct PendingRead {
    std::size_t node = 0;
    std::uint64_t boot = 0;
    ReadLog read;
    utils::Timestamp deadline{};
  };

  void Deliver(std::size_t index, const Event& event);
  void DeliverDue();
  void CheckWakeRate(std::size_t index);
  bool Accepts(const Delivery& delivery);
  void ApplyEffects(std::size_t index, const std::vector<Effect>& effects);
  void Send(std::size_t from, const SendMessage& message);
  void Enqueue(utils::Duration delay, Delivery delivery);
  void AnswerPendingReads();
  bool TryAnswerRead(const PendingRead& pending);
  void Append(std::size_t index, const AppendLog& append);
  void CheckInvariants(std::size_t index);
  void RecordViolation(const std::string& text);
  bool IsPartitioned(std::size_t from, std::optional<std::size_t> to) const;
  std::optional<std::size_t> IndexOf(const membership::NodeId& id) const;
  FakeStream& GetStream(Stream stream);
  utils::Duration LogDelay();

  Options options;
  utils::Timestamp now{};
  std::uint64_t seed;
  std::uint64_t next_boot = 1;
  std::uint64_t next_publish = 1;
  std::vector<membership::Member> members;
  std::vector<Node> nodes;
  std::multimap<utils::Timestamp, Delivery> queue;
  std::vector<PendingRead> reads;
  // State hash at each offset, as first observed on any node.
  std::map<Offset, std::uint64_t> hashes;
  std::string violation;
};

}  // namespace amaranthlatch::distribution::testing
