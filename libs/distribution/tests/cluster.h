// A handful of reducers joined by an in-memory queue and a fake log, for randomised tests.

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

// The members as a node sees them; all nodes of a cluster share one list.
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
  std::vector<std::string> Names(Field field) const;

  const std::vector<membership::Member>& members;
  membership::NodeId self;
};

// One stream of the platform's log.
struct FakeStream {
  std::vector<nlohmann::json> records;
  Offset first_kept = 1;
  Offset Head() const { return this->records.size(); }
};

struct Fault {
  // Probabilities for each message between nodes.
  double lose = 0;
  double repeat = 0;
  utils::Duration late{};
  bool log_down = false;
  bool log_slow = false;
  // Appends take effect, but the answer is an error.
  bool log_loses_answers = false;
  // Whether two nodes, or a node and the log (empty id), cannot reach each other.
  std::function<bool(const membership::Member&, const membership::Member*)> cut;
};

class Cluster {
 public:
  struct Node {
    membership::NodeId id;
    std::unique_ptr<FakeMemberView> view;
    std::unique_ptr<Distribution> reducer;
    // Nothing is delivered before this time; what comes meanwhile waits.
    utils::Timestamp paused_until{};
    // Highest offsets that the present process, and any process at this address, had.
    Offset held = 0;
    Offset in_force = 0;
    Offset served = 0;
    std::vector<acceptance::Verdict> verdicts;
    bool stopped = false;
    int wakes = 0;
    utils::Timestamp wake_second{};
    // Newest process seen of each sender: the envelope lets nothing older through.
    std::map<std::size_t, std::uint64_t> seen_boots;
  };

  // Zones are named "r<region>z<zone>".
  Cluster(std::uint64_t seed, int regions, int zones, int nodes_per_zone, Options options = {});

  void Run(utils::Duration time);
  // Runs until every live node has the whole log in force; returns whether that came in time.
  bool Converge(utils::Duration limit);

  void Publish(const std::string& service, std::uint64_t base_version);
  void Kill(std::size_t index);
  void Start(std::size_t index);
  void Pause(std::size_t index, utils::Duration time);
  // Tells all nodes that the record of a node has changed.
  void SetListed(std::size_t index, bool listed);

  std::vector<Node>& Nodes() { return this->nodes; }
  bool Converged() const;
  std::string Violation() const { return this->violation; }
  utils::Timestamp Now() const { return this->now; }
  std::string Describe() const;
  const membership::Member& MemberAt(std::size_t index) const { return this->members[index]; }

  Fault fault;
  FakeStream config;
  FakeStream snapshots;
  utils::Random random;
  std::uint64_t message_count = 0;

 private:
  struct Delivery {
    std::size_t to = 0;
    std::uint64_t to_boot = 0;
    // For messages of other nodes.
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
  void CountWake(std::size_t index);
  bool Accepts(const Delivery& delivery);
  void Perform(std::size_t index, const std::vector<Effect>& effects);
  void Send(std::size_t from, const SendMessage& message);
  void Enqueue(utils::Duration delay, Delivery delivery);
  void AnswerReads();
  bool TryAnswer(const PendingRead& pending);
  void Append(std::size_t index, const AppendLog& append);
  void Check(std::size_t index);
  void Fail(const std::string& text);
  bool Cut(std::size_t from, std::optional<std::size_t> to) const;
  std::optional<std::size_t> IndexOf(const membership::NodeId& id) const;
  FakeStream& StreamOf(Stream stream);
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
  // State hash at each offset, as first seen on any node.
  std::map<Offset, std::uint64_t> hashes;
  std::string violation;
};

}  // namespace amaranthlatch::distribution::testing
