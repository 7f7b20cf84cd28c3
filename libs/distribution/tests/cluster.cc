// Implementation of the in-memory cluster.

#include "cluster.h"

#include <algorithm>

namespace amaranthlatch::distribution::testing {

namespace {

constexpr utils::Duration kStep = utils::Milliseconds(5);
// Detects a timer that stays due: its reducer is woken at every step, 200 times a second.
constexpr int kMaxWakesPerSecond = 130;
constexpr utils::Duration kLocalDelay = utils::Milliseconds(1);
constexpr utils::Duration kRegionDelay = utils::Milliseconds(20);
constexpr utils::Duration kSlowLogDelay = utils::Milliseconds(1'500);

}  // namespace

nlohmann::json MakeDocument(const std::string& service, std::uint32_t deadline_ms) {
  nlohmann::json document = nlohmann::json::parse(R"({"format": 1, "owner": "records-team",
    "versions": {"stable": {"labels": {"release": "1"}}, "canary": {"labels": {"release": "2"}}},
    "routes": [{"name": "record-block", "path_prefix": "/blocks", "methods": ["POST"],
      "split": [{"version": "stable", "weight": 95}, {"version": "canary", "weight": 5}],
      "idempotent": false, "permit_required": true, "priority": "interactive",
      "deadline_ms": 2000, "max_request_bytes": 65536, "max_response_bytes": 1048576}],
    "protection": {"slots": 20, "connections": 110, "queue_length": 100, "queue_ms": 500,
      "retry_budget_percent": 10, "max_attempts": 3, "slow_start_ms": 10000},
    "locality": {"prefer": "zone", "spill_load_percent": 80}})");
  document["service"] = service;
  document["hosts"] = {service + ".oshana.example"};
  document["routes"][0]["deadline_ms"] = deadline_ms;
  return document;
}

nlohmann::json MakeRecord(const std::string& service, std::uint64_t publish,
                          std::uint64_t base_version, std::uint32_t deadline_ms) {
  return {{"format", 1},
          {"publish_id", "publish-" + std::to_string(publish)},
          {"service", service},
          {"base_version", base_version == 0 ? nlohmann::json() : nlohmann::json(base_version)},
          {"author", "test"},
          {"published_at", "2026-01-01T00:00:00Z"},
          {"action", "put"},
          {"document", MakeDocument(service, deadline_ms)}};
}

const membership::Member* FakeMemberView::Find(std::string_view id) const {
  const auto found = std::find_if(this->members.begin(), this->members.end(),
                                  [id](const auto& member) { return member.id == id; });
  return found == this->members.end() ? nullptr : &*found;
}

membership::MemberList FakeMemberView::Select(Field field, std::string_view value) const {
  auto result = std::make_shared<std::vector<membership::Member>>();
  for (const membership::Member& member : this->members) {
    if (member.*field == value && member.state < membership::MemberState::kLeft) {
      result->push_back(member);
    }
  }
  return result;
}

std::vector<std::string> FakeMemberView::DistinctValues(Field field) const {
  std::set<std::string> names;
  for (const membership::Member& member : this->members) {
    if (member.state < membership::MemberState::kLeft) {
      names.insert(member.*field);
    }
  }
  return {names.begin(), names.end()};
}

membership::MemberList FakeMemberView::ServiceMembers(std::string_view service) const {
  return this->Select(&membership::Member::service, service);
}
membership::MemberList FakeMemberView::ZoneMembers(std::string_view zone) const {
  return this->Select(&membership::Member::zone, zone);
}
membership::MemberList FakeMemberView::RegionMembers(std::string_view region) const {
  return this->Select(&membership::Member::region, region);
}
std::vector<std::string> FakeMemberView::Zones() const {
  return this->DistinctValues(&membership::Member::zone);
}
std::vector<std::string> FakeMemberView::Regions() const {
  return this->DistinctValues(&membership::Member::region);
}

Cluster::Cluster(std::uint64_t seed, int regions, int zones, int nodes_per_zone, Options options)
    : random(seed), options(std::move(options)), seed(seed) {
  for (int region = 0; region < regions; ++region) {
    for (int zone = 0; zone < zones; ++zone) {
      for (int node = 0; node < nodes_per_zone; ++node) {
        membership::Member member;
        member.region = "r" + std::to_string(region);
        member.zone = member.region + "z" + std::to_string(zone);
        member.id = "10." + std::to_string(region) + "." + std::to_string(zone) + "." +
                    std::to_string(node + 1) + ":7000";
        this->members.push_back(member);
      }
    }
  }
  for (const membership::Member& member : this->members) {
    Node node;
    node.id = member.id;
    node.view = std::make_unique<FakeMemberView>(this->members, member.id);
    this->nodes.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->Start(i);
  }
}

std::optional<std::size_t> Cluster::IndexOf(const membership::NodeId& id) const {
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    if (this->members[i].id == id) {
      return i;
    }
  }
  return std::nullopt;
}

void Cluster::Start(std::size_t index) {
  Options own = this->options;
  own.seed = this->random.Next();
  own.log_region = "r0";
  Node& node = this->nodes[index];
  node.reducer = std::make_unique<Distribution>(std::move(*Distribution::Create(own)));
  node.held = 0;
  node.in_force = 0;
  node.stopped = false;
  node.seen_boots.clear();
  node.paused_until = {};
  this->members[index].boot_id = this->next_boot++;
  ++this->members[index].incarnation;
  this->SetListed(index, true);
}

void Cluster::Kill(std::size_t index) { this->nodes[index].reducer.reset(); }

void Cluster::Pause(std::size_t index, utils::Duration time) {
  this->nodes[index].paused_until = this->now + time;
}

void Cluster::SetListed(std::size_t index, bool listed) {
  this->members[index].state =
      listed ? membership::MemberState::kReady : membership::MemberState::kDead;
  for (Node& node : this->nodes) {
    ++node.view->generation;
  }
}

void Cluster::Publish(const std::string& service, std::uint64_t base_version) {
  const auto deadline = static_cast<std::uint32_t>(1'000 + this->random.Uniform(1'000));
  this->config.records.push_back(MakeRecord(service, this->next_publish++, base_version, deadline));
}

bool Cluster::IsPartitioned(std::size_t from, std::optional<std::size_t> to) const {
  return this->fault.is_partitioned &&
         this->fault.is_partitioned(this->members[from], to ? &this->members[*to] : nullptr);
}

void Cluster::Enqueue(utils::Duration delay, Delivery delivery) {
  this->queue.emplace(this->now + delay, std::move(delivery));
}

void Cluster::Send(std::size_t from, const SendMessage& message) {
  ++this->message_count;
  const std::optional<std::size_t> to = this->IndexOf(message.to);
  if (!to || !this->nodes[*to].reducer || this->IsPartitioned(from, to)) {
    if (to && !this->IsPartitioned(from, to)) {
      this->Enqueue(kLocalDelay,
                    {from, this->members[from].boot_id, 0, 0, PeerUnreachable{message.to}});
    }
    return;
  }
  // Messages are encoded and decoded, as they are between processes.
  const auto bytes = nlohmann::json::to_cbor(ToJson(message.message));
  const auto decoded = MessageFromJson(nlohmann::json::from_cbor(bytes));
  if (!decoded || !(*decoded == message.message)) {
    this->RecordViolation("a message differs after encoding and decoding");
    return;
  }
  const bool same_region = this->members[from].region == this->members[*to].region;
  const int copies = this->random.Bernoulli(this->fault.duplicate_probability) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (this->random.Bernoulli(this->fault.loss_probability)) {
      continue;
    }
    const utils::Duration delay = (same_region ? kLocalDelay : kRegionDelay) +
                                  this->random.Jitter(this->fault.max_extra_delay);
    this->Enqueue(delay, {*to, this->members[*to].boot_id, from, this->members[from].boot_id,
                          PeerMessage{this->members[from].id, *decoded}});
  }
}

utils::Duration Cluster::LogDelay() {
  return kLocalDelay + this->random.Jitter(this->fault.log_slow ? kSlowLogDelay : kLocalDelay);
}

FakeStream& Cluster::GetStream(Stream stream) {
  return stream == Stream::kConfig ? this->config : this->snapshots;
}

bool Cluster::TryAnswerRead(const PendingRead& pending) {
  const ReadLog& read = pending.read;
  const FakeStream& stream = this->GetStream(read.stream);
  const auto answer = [&](Event event) {
    this->Enqueue(this->LogDelay(), {pending.node, pending.boot, 0, 0, std::move(event)});
    return true;
  };
  if (this->fault.log_down || this->IsPartitioned(pending.node, std::nullopt)) {
    return answer(LogReadFailed{
        read.request, read.stream, {utils::ErrorCode::kLogUnavailable, "down", ""}, {}});
  }
  if (read.from < stream.first_kept) {
    return answer(LogReadFailed{read.request,
                                read.stream,
                                {utils::ErrorCode::kLogTruncated, "truncated", ""},
                                stream.first_kept});
  }
  if (read.from > stream.Head() && pending.deadline > this->now) {
    return false;
  }
  LogRead result{read.request, read.stream, stream.first_kept, stream.Head(), read.from, {}};
  while (result.next <= stream.Head() && result.records.size() < read.limit) {
    result.records.push_back({result.next, stream.records[result.next - 1]});
    ++result.next;
  }
  return answer(std::move(result));
}

void Cluster::AnswerPendingReads() {
  std::erase_if(this->reads, [this](const PendingRead& pending) {
    const bool gone = this->members[pending.node].boot_id != pending.boot;
    return gone || this->TryAnswerRead(pending);
  });
}

void Cluster::Append(std::size_t index, const AppendLog& append) {
  FakeStream& stream = this->GetStream(append.stream);
  const bool down = this->fault.log_down || this->IsPartitioned(index, std::nullopt);
  if (!down) {
    stream.records.push_back(append.value);
  }
  const utils::Error error{utils::ErrorCode::kLogUnavailable, "down", ""};
  Event event = LogAppendDone{append.request, stream.Head()};
  if (down || this->fault.log_append_replies_lost) {
    event = LogAppendFailed{append.request, error};
  }
  this->Enqueue(this->LogDelay(), {index, this->members[index].boot_id, 0, 0, std::move(event)});
}

void Cluster::ApplyEffects(std::size_t index, const std::vector<Effect>& effects) {
  Node& node = this->nodes[index];
  for (const Effect& effect : effects) {
    if (const auto* message = std::get_if<SendMessage>(&effect)) {
      this->Send(index, *message);
    } else if (const auto* read = std::get_if<ReadLog>(&effect)) {
      this->reads.push_back({index, this->members[index].boot_id, *read, this->now + read->wait});
    } else if (const auto* append = std::get_if<AppendLog>(&effect)) {
      this->Append(index, *append);
    } else if (const auto* verdict = std::get_if<VerdictInForce>(&effect)) {
      node.verdicts.push_back(verdict->verdict);
    } else if (std::holds_alternative<FoldStopped>(effect)) {
      if (node.stopped) {
        this->RecordViolation(node.id + " reported FoldStopped twice");
      }
      node.stopped = true;
    }
  }
}

void Cluster::Deliver(std::size_t index, const Event& event) {
  Node& node = this->nodes[index];
  if (!node.reducer) {
    return;
  }
  this->ApplyEffects(index, node.reducer->Reduce(event, this->now, *node.view));
  this->CheckInvariants(index);
}

void Cluster::RecordViolation(const std::string& text) {
  if (this->violation.empty()) {
    this->violation = text + " (seed " + std::to_string(this->seed) + ")";
  }
}

void Cluster::CheckInvariants(std::size_t index) {
  Node& node = this->nodes[index];
  const Distribution& reducer = *node.reducer;
  const Offset in_force = reducer.InForce().HeadOffset();
  if (reducer.Held() < node.held || in_force < node.in_force || in_force > reducer.Held()) {
    this->RecordViolation(
        node.id +
        " decreased its held or in-force offset, or has entries in force that it does not hold");
  }
  node.held = reducer.Held();
  node.in_force = in_force;
  const auto [hash, added] = this->hashes.emplace(in_force, reducer.InForce().Hash());
  if (!added && hash->second != reducer.InForce().Hash()) {
    this->RecordViolation(node.id + " has a different state hash at offset " +
                          std::to_string(in_force));
  }
  if (reducer.Ready()) {
    if (in_force < node.served) {
      this->RecordViolation(node.id + " serves offset " + std::to_string(in_force) + " after " +
                            std::to_string(node.served));
    }
    node.served = std::max(node.served, in_force);
  }
}

bool Cluster::Accepts(const Delivery& delivery) {
  if (this->members[delivery.to].boot_id != delivery.to_boot) {
    return false;
  }
  std::uint64_t& seen = this->nodes[delivery.to].seen_boots[delivery.from];
  const bool older = delivery.from_boot != 0 && delivery.from_boot < seen;
  seen = std::max(seen, delivery.from_boot);
  return !older;
}

void Cluster::DeliverDue() {
  while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
    const Delivery delivery = this->queue.begin()->second;
    this->queue.erase(this->queue.begin());
    const utils::Timestamp paused_until = this->nodes[delivery.to].paused_until;
    if (paused_until > this->now) {
      this->queue.emplace(paused_until, delivery);
    } else if (this->Accepts(delivery)) {
      this->Deliver(delivery.to, delivery.event);
    }
  }
}

void Cluster::CheckWakeRate(std::size_t index) {
  Node& node = this->nodes[index];
  const auto second = std::chrono::floor<std::chrono::seconds>(this->now);
  node.wakes_this_second = node.wake_second == second ? node.wakes_this_second + 1 : 1;
  node.wake_second = second;
  if (node.wakes_this_second > kMaxWakesPerSecond) {
    this->RecordViolation(node.id + " exceeds the maximum number of wake-ups per second");
  }
}

void Cluster::Run(utils::Duration time) {
  const utils::Timestamp end = this->now + time;
  while (this->now < end && this->violation.empty()) {
    this->now += kStep;
    this->AnswerPendingReads();
    this->DeliverDue();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      const Node& node = this->nodes[i];
      const auto due = node.reducer ? node.reducer->NextWake() : std::nullopt;
      if (due && *due <= this->now && node.paused_until <= this->now) {
        this->CheckWakeRate(i);
        this->Deliver(i, WakeUp{});
      }
    }
  }
}

bool Cluster::Converged() const {
  return std::all_of(this->nodes.begin(), this->nodes.end(), [this](const Node& node) {
    return !node.reducer ||
           (node.reducer->Ready() && node.reducer->InForce().HeadOffset() == this->config.Head());
  });
}

bool Cluster::Converge(utils::Duration limit) {
  const utils::Timestamp end = this->now + limit;
  while (!this->Converged() && this->now < end && this->violation.empty()) {
    this->Run(kStep);
  }
  return this->Converged();
}

std::string Cluster::Describe() const {
  std::string text = "seed " + std::to_string(this->seed) + ", head " +
                     std::to_string(this->config.Head()) + ", " + this->violation;
  for (const Node& node : this->nodes) {
    if (node.reducer) {
      text += "\n" + node.id + " held " + std::to_string(node.reducer->Held()) + " in force " +
              std::to_string(node.in_force) + " " + node.reducer->Reason();
    }
  }
  return text;
}

}  // namespace amaranthlatch::distribution::testing
