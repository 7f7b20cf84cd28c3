// Simulates a mesh of quota reducers that exchange messages through an in-memory queue with
// injected faults, and checks the bound on the calls that were admitted.

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

#include "amaranthlatch/membership/member_table.h"
#include "amaranthlatch/quota/quota.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::quota::testing {

struct Faults {
  double loss = 0.0;
  double duplicates = 0.0;
  // Part of the messages that are delayed by up to 2 s.
  double delays = 0.0;
  // Part of the admitted calls that end without having run.
  double not_run = 0.0;
};

// Callers of one workspace. They come in at these nodes; at all if there are none.
struct Load {
  std::string workspace;
  // Calls per second.
  double rate = 0.0;
  std::vector<std::size_t> nodes;
};

struct Outcome {
  std::uint64_t offered = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  // Decided later than in the event in which the call arrived, and the longest time until then.
  std::uint64_t waited = 0;
  utils::Duration longest_wait{};

  Outcome& operator+=(const Outcome& other);
  double RefusedPart() const {
    return static_cast<double>(this->refused) / static_cast<double>(this->offered);
  }
};

class QuotaMesh {
 public:
  QuotaMesh(std::uint64_t seed, std::size_t zones, std::size_t node_count, const Guards& guards);

  void Run(utils::Duration time);
  void At(utils::Duration delay, std::function<void()> action) {
    this->queue.emplace(this->now + delay, std::move(action));
  }

  // Takes effect at each node within a second.
  void SetLimits(const Limits& limits);
  void SetLoads(const std::vector<Load>& loads);
  void Kill(std::size_t node);
  void Restart(std::size_t node) { this->Start(node, true); }
  // The node itself if it has no holder.
  std::size_t HolderOf(std::size_t node) const;
  void Pause(std::size_t node, utils::Duration time);
  // Adds a node to a zone. The others list it within two seconds.
  void Join(std::size_t zone);

  // By workspace, since the last call.
  std::map<std::string, Outcome> TakeOutcomes();
  Outcome TakeTotal();
  // Admitted calls divided by the bound, in the worst window of any workspace since the start.
  double WorstWindow() const;

  using MembersPointer = std::shared_ptr<membership::details::MemberTable>;
  struct Node {
    Options options;
    std::optional<Quota> quota;
    // Distinguishes the processes of the node.
    std::uint64_t process = 0;
    MembersPointer members;
    utils::Timestamp paused_until{};
    std::vector<Event> paused_events;
    std::optional<utils::Timestamp> wake;
    // Index of the limits in force.
    std::size_t limits = 0;
    bool cut_off = false;
  };
  std::vector<Node> nodes;
  std::set<std::string> cut_zones;
  Faults faults;
  utils::Random random;
  utils::Timestamp now{utils::Seconds(1000)};
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  bool codec_failed = false;

 private:
  struct Arrival {
    std::string workspace;
    utils::Timestamp at{};
  };
  // Limits that nodes may have had in force between two times.
  struct LimitPeriod {
    Limits limits;
    utils::Timestamp from{};
    utils::Timestamp until = utils::Timestamp::max();
  };

  std::size_t AddNode(std::size_t zone);
  void Start(std::size_t node, bool was_listed);
  MembersPointer ListNodes() const;
  void Dispatch(std::size_t index, const Event& event);
  void Perform(std::size_t index, const Effect& effect);
  void Send(std::size_t index, const SendMessage& sent);
  void Decide(std::uint64_t call, bool admitted, std::size_t node);
  void ScheduleWake(std::size_t index);
  void ScheduleArrival(std::size_t load, std::uint64_t generation);
  double BoundFor(const std::string& workspace, utils::Timestamp from, utils::Timestamp to) const;

  std::multimap<utils::Timestamp, std::function<void()>> queue;
  std::map<std::string, std::size_t> indexes;
  MembersPointer listed;
  std::vector<LimitPeriod> periods;
  std::vector<Load> loads;
  std::uint64_t load_generation = 0;
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, Arrival> open_calls;
  std::map<std::string, std::vector<utils::Timestamp>> admitted;
  std::map<std::string, Outcome> outcomes;
  Guards guards;
};

}  // namespace amaranthlatch::quota::testing
