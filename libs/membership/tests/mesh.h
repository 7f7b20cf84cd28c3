// Simulates a mesh of membership reducers that exchange messages through an in-memory queue with
// injected faults.

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/membership/membership.h"
#include "amaranthlatch/membership/message_codec.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::membership {

// Applied to each message; `max_delay` bounds a random delay.
struct Faults {
  double loss_probability = 0.0;
  double duplicate_probability = 0.0;
  utils::Duration max_delay = utils::Milliseconds(5);
};

class Mesh {
 public:
  explicit Mesh(std::uint64_t seed) : random(seed) {}

  // Starts a node with the given id and no state of an earlier process.
  void Start(const NodeId& id, const std::string& zone, std::uint64_t wall_time_ms) {
    Options options;
    options.id = id;
    options.region = "region-" + zone.substr(0, 1);
    options.zone = zone;
    options.data_address = id + "0";
    options.boot_id = this->random.Next();
    options.wall_time_ms = wall_time_ms;
    options.seed = this->random.Next();
    options.seeds = this->seeds;
    this->nodes.erase(id);
    this->nodes.emplace(id, Process{*Membership::Create(options), this->now, zone});
    this->HandleEvent(id, WakeUp{});
    this->HandleEvent(id, ReadinessChanged{true});
    this->HandleEvent(id, BackendServerAnnounced{"service-" + zone, {{"release", "1"}}, 6});
  }

  void Kill(const NodeId& id) { this->nodes.erase(id); }
  void Pause(const NodeId& id, utils::Duration time) {
    this->nodes.at(id).paused_until = this->now + time;
  }

  void HandleEvent(const NodeId& id, const Event& event) {
    Process& process = this->nodes.at(id);
    for (const Effect& effect : process.membership.Reduce(event, this->now)) {
      if (const auto* send = std::get_if<SendMessage>(&effect)) {
        this->Send(id, *send);
      } else if (const auto* changed = std::get_if<MemberChanged>(&effect)) {
        if (this->on_member_changed) {
          this->on_member_changed(id, changed->after);
        }
      }
    }
    if (this->after_event) {
      this->after_event(id);
    }
  }

  void RunFor(utils::Duration time) {
    const utils::Timestamp end = this->now + time;
    while (this->Step(end)) {
    }
    this->now = end;
  }

  const MemberView& View(const NodeId& id) const { return this->nodes.at(id).membership.View(); }

  std::size_t CountRunningIn(const std::string& zone) const {
    return static_cast<std::size_t>(
        std::count_if(this->nodes.begin(), this->nodes.end(),
                      [&zone](const auto& entry) { return entry.second.zone == zone; }));
  }

  // Whether every running node lists exactly the running nodes, each with its current record.
  bool HasConverged() const {
    for (const auto& [id, process] : this->nodes) {
      const MemberView& view = process.membership.View();
      if (view.Size() != this->nodes.size()) {
        return false;
      }
      for (const auto& [other, running] : this->nodes) {
        const Member* seen = view.Find(other);
        if (seen == nullptr || *seen != running.membership.View().Self()) {
          return false;
        }
      }
    }
    return true;
  }

  struct Process {
    Membership membership;
    utils::Timestamp paused_until{};
    std::string zone;
  };

  utils::Random random;
  utils::Timestamp now{utils::Seconds(1)};
  std::vector<NodeId> seeds;
  std::map<NodeId, Process> nodes;
  Faults faults;
  std::set<std::string> partitioned_zones;
  // Nodes whose messages, sent and received, are dropped.
  std::set<NodeId> isolated_nodes;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  bool count_bytes = false;
  std::function<void(const NodeId&, const Member&)> on_member_changed;
  std::function<void(const NodeId&)> after_event;

 private:
  struct Delivery {
    NodeId from;
    NodeId to;
    Message message;
  };

  void Send(const NodeId& from, const SendMessage& send) {
    ++this->messages;
    if (this->count_bytes) {
      this->bytes += nlohmann::json::to_cbor(ToJson(send.message)).size();
    }
    const int copies = this->random.Bernoulli(this->faults.duplicate_probability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (!this->random.Bernoulli(this->faults.loss_probability)) {
        const utils::Timestamp at =
            this->now + utils::Duration(100) + this->random.Jitter(this->faults.max_delay);
        this->in_flight.emplace(at, Delivery{from, send.to, send.message});
      }
    }
  }

  bool IsPartitioned(const NodeId& from, const NodeId& to) const {
    if (this->isolated_nodes.contains(from) || this->isolated_nodes.contains(to)) {
      return true;
    }
    const std::string& left = this->nodes.at(from).zone;
    const std::string& right = this->nodes.at(to).zone;
    return left != right &&
           (this->partitioned_zones.contains(left) || this->partitioned_zones.contains(right));
  }

  // Executes the earliest event before `end`; returns false if there is none.
  bool Step(utils::Timestamp end) {
    std::optional<utils::Timestamp> earliest;
    const NodeId* next_node = nullptr;
    for (const auto& [id, process] : this->nodes) {
      const auto wake = process.membership.NextWake();
      if (!wake) {
        continue;
      }
      const utils::Timestamp at = std::max(*wake, process.paused_until);
      if (!earliest || at < *earliest) {
        earliest = at;
        next_node = &id;
      }
    }
    if (!this->in_flight.empty() && (!earliest || this->in_flight.begin()->first <= *earliest)) {
      return this->Deliver(end);
    }
    if (!earliest || *earliest >= end) {
      return false;
    }
    this->now = std::max(this->now, *earliest);
    this->HandleEvent(NodeId(*next_node), WakeUp{});
    return true;
  }

  bool Deliver(utils::Timestamp end) {
    const auto first = this->in_flight.begin();
    if (first->first >= end) {
      return false;
    }
    this->now = std::max(this->now, first->first);
    Delivery delivery = std::move(first->second);
    this->in_flight.erase(first);
    const auto receiver = this->nodes.find(delivery.to);
    if (receiver == this->nodes.end() || !this->nodes.contains(delivery.from) ||
        this->IsPartitioned(delivery.from, delivery.to)) {
      return true;
    }
    if (receiver->second.paused_until > this->now) {
      this->in_flight.emplace(receiver->second.paused_until, std::move(delivery));
      return true;
    }
    this->HandleEvent(delivery.to, PeerMessage{delivery.from, std::move(delivery.message)});
    return true;
  }

  std::multimap<utils::Timestamp, Delivery> in_flight;
};

}  // namespace amaranthlatch::membership
