// The simulated network, processes and callers.

#include "quota_mesh.h"

#include <algorithm>
#include <cmath>

#include "amaranthlatch/quota/message_codec.h"

namespace amaranthlatch::quota::testing {

using membership::Member;
using utils::Duration;
using utils::Milliseconds;
using utils::Seconds;
using utils::Timestamp;

namespace {

// When a change of limits takes effect at a node.
Duration LimitsDelay(std::size_t node) {
  return Milliseconds(static_cast<std::int64_t>(node * 37 % 1000));
}

}  // namespace

QuotaMesh::QuotaMesh(std::uint64_t seed, std::size_t zones, std::size_t node_count,
                     const Guards& guards)
    : random(seed), guards(guards) {
  this->periods.push_back({});
  for (std::size_t i = 0; i < node_count; ++i) {
    this->AddNode(i % zones);
  }
  this->listed = this->ListNodes();
  for (std::size_t i = 0; i < node_count; ++i) {
    this->nodes[i].members = this->listed;
    this->Start(i, true);
  }
}

std::size_t QuotaMesh::AddNode(std::size_t zone) {
  Node node;
  const std::size_t index = this->nodes.size();
  node.options.id = "10.0." + std::to_string(zone) + "." + std::to_string(index) + ":7000";
  node.options.zone = "zone-" + std::to_string(zone);
  node.options.guards = this->guards;
  this->indexes[node.options.id] = index;
  this->nodes.push_back(std::move(node));
  return index;
}

QuotaMesh::MembersPointer QuotaMesh::ListNodes() const {
  MembersPointer listed_nodes;
  for (const Node& node : this->nodes) {
    Member member;
    member.id = node.options.id;
    member.zone = node.options.zone;
    member.state = membership::MemberState::kReady;
    if (listed_nodes == nullptr) {
      listed_nodes = std::make_shared<membership::details::MemberTable>(member);
    }
    listed_nodes->Merge(member, this->now);
  }
  return listed_nodes;
}

void QuotaMesh::Start(std::size_t index, bool was_listed) {
  Node& node = this->nodes[index];
  node.options.boot_id = this->random.Next() | 1U;
  node.options.seed = this->random.Next();
  node.quota.emplace(*Quota::Create(node.options));
  ++node.process;
  node.wake.reset();
  node.limits = 0;
  node.paused_until = {};
  node.paused_events.clear();
  this->Dispatch(index, MembersListed{was_listed});
}

void QuotaMesh::Kill(std::size_t index) {
  this->nodes[index].quota.reset();
  ++this->nodes[index].process;
}

std::size_t QuotaMesh::HolderOf(std::size_t index) const {
  const std::optional<Quota>& quota = this->nodes[index].quota;
  const auto holder = this->indexes.find(quota ? quota->GetGauges().holder : membership::NodeId());
  return holder == this->indexes.end() ? index : holder->second;
}

void QuotaMesh::Pause(std::size_t index, Duration time) {
  Node& node = this->nodes[index];
  node.paused_until = this->now + time;
  this->At(time, [this, index, process = node.process] {
    Node& resumed = this->nodes[index];
    if (resumed.process == process && this->now >= resumed.paused_until) {
      for (const Event& event : std::exchange(resumed.paused_events, {})) {
        this->Dispatch(index, event);
      }
      this->Dispatch(index, WakeUp{});
    }
  });
}

void QuotaMesh::Join(std::size_t zone) {
  const std::size_t index = this->AddNode(zone);
  this->listed = this->ListNodes();
  for (std::size_t i = 0; i < index; ++i) {
    this->At(this->random.Jitter(Seconds(2)), [this, i, members = this->listed] {
      if (this->nodes[i].members->Size() < members->Size()) {
        this->nodes[i].members = members;
      }
    });
  }
  this->nodes[index].members = this->listed;
  this->Start(index, false);
}

void QuotaMesh::SetLimits(const Limits& limits) {
  this->periods.back().until = this->now + Seconds(1);
  this->periods.push_back({limits, this->now, Timestamp::max()});
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->At(LimitsDelay(i), [this, i] { this->Dispatch(i, WakeUp{}); });
  }
}

void QuotaMesh::SetLoads(const std::vector<Load>& changed) {
  this->loads = changed;
  ++this->load_generation;
  for (std::size_t i = 0; i < this->loads.size(); ++i) {
    this->ScheduleArrival(i, this->load_generation);
  }
}

void QuotaMesh::ScheduleArrival(std::size_t index, std::uint64_t generation) {
  const Load& load = this->loads[index];
  const double wait = -std::log(1.0 - this->random.UniformReal()) / load.rate;
  this->At(Duration(static_cast<Duration::rep>(wait * 1e6)), [this, index, generation] {
    if (generation != this->load_generation) {
      return;
    }
    const Load& source = this->loads[index];
    const std::size_t node = source.nodes.empty()
                                 ? this->random.Uniform(this->nodes.size())
                                 : source.nodes[this->random.Uniform(source.nodes.size())];
    if (this->nodes[node].quota) {
      const std::uint64_t call = ++this->last_call;
      ++this->outcomes[source.workspace].offered;
      this->open_calls[call] = Arrival{source.workspace, this->now};
      this->Dispatch(node, CallArrived{call, source.workspace});
    }
    this->ScheduleArrival(index, generation);
  });
}

void QuotaMesh::Run(Duration time) {
  const Timestamp end = this->now + time;
  while (!this->queue.empty() && this->queue.begin()->first <= end) {
    this->now = this->queue.begin()->first;
    const auto action = std::move(this->queue.begin()->second);
    this->queue.erase(this->queue.begin());
    action();
  }
  this->now = end;
}

void QuotaMesh::Dispatch(std::size_t index, const Event& event) {
  Node& node = this->nodes[index];
  if (!node.quota) {
    return;
  }
  if (this->now < node.paused_until) {
    node.paused_events.push_back(event);
    return;
  }
  if (node.limits + 1 < this->periods.size() &&
      this->now >= this->periods.back().from + LimitsDelay(index)) {
    node.limits = this->periods.size() - 1;
    const auto limits = std::make_shared<const Limits>(this->periods.back().limits);
    for (const Effect& effect :
         node.quota->Reduce(LimitsChanged{limits}, this->now, *node.members)) {
      this->Perform(index, effect);
    }
  }
  for (const Effect& effect : node.quota->Reduce(event, this->now, *node.members)) {
    this->Perform(index, effect);
  }
  this->ScheduleWake(index);
}

void QuotaMesh::Perform(std::size_t index, const Effect& effect) {
  if (const auto* const admit = std::get_if<AdmitCall>(&effect)) {
    this->Decide(admit->call, true, index);
  } else if (const auto* const refuse = std::get_if<RefuseCall>(&effect)) {
    this->Decide(refuse->call, false, index);
  } else if (const auto* const sent = std::get_if<SendMessage>(&effect)) {
    this->Send(index, *sent);
  }
}

void QuotaMesh::Decide(std::uint64_t call, bool is_admitted, std::size_t node) {
  const Arrival arrival = this->open_calls.at(call);
  this->open_calls.erase(call);
  Outcome& outcome = this->outcomes[arrival.workspace];
  ++(is_admitted ? outcome.admitted : outcome.refused);
  outcome.waited += this->now > arrival.at ? 1 : 0;
  outcome.longest_wait = std::max(outcome.longest_wait, this->now - arrival.at);
  if (!is_admitted) {
    return;
  }
  std::vector<Timestamp>& times = this->admitted[arrival.workspace];
  times.push_back(this->now);
  if (this->faults.not_run > 0.0 && this->random.Bernoulli(this->faults.not_run)) {
    this->At(this->random.Jitter(Milliseconds(100)),
             [this, node, process = this->nodes[node].process, position = times.size() - 1,
              workspace = arrival.workspace, at = this->now] {
               this->admitted[workspace][position] = Timestamp{};
               if (this->nodes[node].process == process) {
                 this->Dispatch(node, CallNotRun{workspace, at});
               }
             });
  }
}

void QuotaMesh::Send(std::size_t index, const SendMessage& sent) {
  ++this->messages;
  const std::string encoded = ToCbor(sent.message);
  this->bytes += encoded.size();
  const auto message = MessageFromCbor(encoded);
  if (!message || *message != sent.message) {
    this->codec_failed = true;
    return;
  }
  const Node& from = this->nodes[index];
  const std::size_t to = this->indexes.at(sent.to);
  const Node& receiver = this->nodes[to];
  const bool same_zone = from.options.zone == receiver.options.zone;
  const bool is_cut = from.cut_off || receiver.cut_off ||
                      (!same_zone && (this->cut_zones.contains(from.options.zone) ||
                                      this->cut_zones.contains(receiver.options.zone)));
  if (!receiver.quota && !is_cut) {
    this->At(Milliseconds(2), [this, index, process = from.process, id = sent.to] {
      if (this->nodes[index].process == process) {
        this->Dispatch(index, PeerUnreachable{id});
      }
    });
    return;
  }
  const int copies = this->random.Bernoulli(this->faults.duplicates) ? 2 : 1;
  for (int i = 0; i < copies && !is_cut; ++i) {
    if (this->random.Bernoulli(this->faults.loss)) {
      continue;
    }
    Duration delay = same_zone ? Duration(500) : Milliseconds(10);
    delay += this->random.Jitter(same_zone ? Milliseconds(2) : Milliseconds(15));
    if (this->random.Bernoulli(this->faults.delays)) {
      delay += this->random.Jitter(Seconds(2));
    }
    // Delivered also to a process that has started since.
    this->At(delay, [this, to, event = PeerMessage{from.options.id, *message}] {
      this->Dispatch(to, event);
    });
  }
}

void QuotaMesh::ScheduleWake(std::size_t index) {
  Node& node = this->nodes[index];
  const std::optional<Timestamp> next = node.quota->NextWake();
  if (!next || node.wake == next) {
    return;
  }
  node.wake = next;
  this->At(std::max(Duration{}, *next - this->now),
           [this, index, process = node.process, time = *next] {
             Node& woken = this->nodes[index];
             if (woken.process == process && woken.wake == time) {
               woken.wake.reset();
               if (this->now >= woken.paused_until) {
                 this->Dispatch(index, WakeUp{});
               }
             }
           });
}

std::map<std::string, Outcome> QuotaMesh::TakeOutcomes() {
  return std::exchange(this->outcomes, {});
}

Outcome& Outcome::operator+=(const Outcome& other) {
  this->offered += other.offered;
  this->admitted += other.admitted;
  this->refused += other.refused;
  this->waited += other.waited;
  this->longest_wait = std::max(this->longest_wait, other.longest_wait);
  return *this;
}

Outcome QuotaMesh::TakeTotal() {
  Outcome total;
  for (const auto& [workspace, outcome] : this->TakeOutcomes()) {
    total += outcome;
  }
  return total;
}

double QuotaMesh::BoundFor(const std::string& workspace, Timestamp from, Timestamp to) const {
  double bound = 0.0;
  for (const LimitPeriod& period : this->periods) {
    const auto limit = period.limits.find(workspace);
    if (period.from > to || period.until < from) {
      continue;
    }
    if (limit == period.limits.end()) {
      return HUGE_VAL;
    }
    bound = std::max(bound, (limit->second.rate * 5.0 + limit->second.burst) * 1.1 + 20.0);
  }
  return bound;
}

double QuotaMesh::WorstWindow() const {
  double worst = 0.0;
  for (const auto& [workspace, all] : this->admitted) {
    std::vector<Timestamp> times;
    std::copy_if(all.begin(), all.end(), std::back_inserter(times),
                 [](Timestamp time) { return time != Timestamp{}; });
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= Seconds(5)) {
        ++first;
      }
      const double ratio = static_cast<double>(last - first + 1) /
                           this->BoundFor(workspace, times[first], times[last]);
      worst = std::max(worst, ratio);
    }
  }
  return worst;
}

}  // namespace amaranthlatch::quota::testing
