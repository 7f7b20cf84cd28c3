// Simulated mesh of complete nodes.

#include "node_mesh.h"

#include <algorithm>
#include <array>

#include "amaranthlatch/acceptance/publish_record.h"

namespace amaranthlatch::node::testing {

namespace {

constexpr std::uint64_t kWallTime = 1'700'000'000'000;
constexpr const char* kSecret = "secret of the simulated mesh";
constexpr std::array<const char*, 2> kServices = {"claims-ledger", "field-log"};

// Returns a document whose routes target its own service and, for field-log, also claims-ledger.
nlohmann::json MakeDocument(const std::string& service, bool valid, std::uint64_t number) {
  nlohmann::json split = nlohmann::json::array();
  split.push_back({{"version", valid ? "stable" : "absent"}, {"weight", 90}});
  if (service == "field-log") {
    split.push_back({{"service", "claims-ledger"}, {"version", "stable"}, {"weight", 10}});
  }
  const auto route = [&split, number](const std::string& path, bool idempotent) {
    return nlohmann::json{{"name", path.substr(1)}, {"path_prefix", path},
                          {"split", split},         {"idempotent", idempotent},
                          {"priority", "normal"},   {"deadline_ms", 1'000 + number % 1'000}};
  };
  return {{"format", 1},
          {"service", service},
          {"owner", "team"},
          {"hosts", {service + ".example"}},
          {"versions", {{"stable", {{"labels", {{"release", "1"}}}}}}},
          {"routes", {route("/read", true), route("/write", false)}}};
}

}  // namespace

NodeMesh::NodeMesh(std::uint64_t seed, int zones, int nodes_per_zone) : random(seed) {
  for (int zone = 0; zone < zones; ++zone) {
    for (int index = 0; index < nodes_per_zone; ++index) {
      const std::string id = "10." + std::to_string(zone) + ".0." + std::to_string(index) + ":1";
      this->ids.push_back(id);
      this->processes[id].zone = "z" + std::to_string(zone);
    }
  }
  for (const char* service : kServices) {
    this->Publish(service, true);
  }
  for (const membership::NodeId& id : this->ids) {
    this->Start(id);
  }
}

void NodeMesh::Start(const membership::NodeId& id) {
  Process& process = this->processes.at(id);
  NodeOptions options;
  options.id = id;
  options.zone = process.zone;
  // Zones 0 and 1 share a region.
  options.region = process.zone == "z0" || process.zone == "z1" ? "north" : "south";
  options.data_address = id;
  options.seeds = {this->ids.front(), this->ids.back()};
  options.seed = this->random.Next();
  options.boot_id = this->random.Next();
  options.wall_time_ms = kWallTime + this->random.Uniform(7'200'000);
  options.secret = kSecret;
  options.distribution.log_region = "north";
  options.calls.gate.refusal_filter_bits = 1ULL << 14U;
  options.calls.gate.max_tracked_attempts = 4'096;
  this->Kill(id);
  process.node = *Node::Create(options);
  process.envelope = std::make_unique<Envelope>(*Envelope::Create(id, options.boot_id, kSecret));
  process.boot = options.boot_id;
  process.paused_until = this->now;
  process.backend_up = true;
  this->HandleEvent(id, WakeUp{});
  this->Announce(id, process.boot);
}

void NodeMesh::Kill(const membership::NodeId& id) {
  Process& process = this->processes.at(id);
  process.node.reset();
  process.runs.clear();
  process.boot = 0;
}

void NodeMesh::Pause(const membership::NodeId& id, utils::Duration time) {
  this->processes.at(id).paused_until = this->now + time;
}

void NodeMesh::CrashBackendServer(const membership::NodeId& id) {
  Process& process = this->processes.at(id);
  process.backend_up = false;
  for (const std::uint64_t run : std::exchange(process.runs, {})) {
    this->ScheduleEvent(
        id, utils::Milliseconds(1),
        calls::BackendServerFailed{run, calls::BackendFailure::kConnectionLost, true});
  }
  this->ScheduleEvent(id, utils::Seconds(3), BackendServerLost{});
  const std::uint64_t boot = process.boot;
  this->At(utils::Seconds(5), [this, id, boot] {
    if (this->processes.at(id).boot == boot) {
      this->processes.at(id).backend_up = true;
    }
  });
}

void NodeMesh::Announce(const membership::NodeId& id, std::uint64_t boot) {
  Process& process = this->processes.at(id);
  if (process.boot != boot) {
    return;
  }
  if (process.backend_up) {
    const std::size_t index = std::find(this->ids.begin(), this->ids.end(), id) - this->ids.begin();
    this->ScheduleEvent(id, utils::Milliseconds(1),
                        BackendServerAnnounced{kServices[index % 2], {{"release", "1"}}, 4});
  }
  this->At(utils::Seconds(1), [this, id, boot] { this->Announce(id, boot); });
}

void NodeMesh::Publish(const std::string& service, bool valid) {
  acceptance::PublishRecord record;
  record.publish_id = "publish-" + std::to_string(this->next_publish);
  record.service = service;
  record.author = "operator";
  record.published_at = "2024-01-01T00:00:00Z";
  record.document = MakeDocument(service, valid, this->next_publish++);
  // The base version comes from a random node, so publishers race and may use outdated versions.
  const Process& seen = this->processes.at(this->ids[this->random.Uniform(this->ids.size())]);
  if (seen.node != nullptr) {
    const auto* accepted = seen.node->InForce().FindAccepted(service);
    record.base_version = accepted == nullptr ? 0 : accepted->version;
  }
  this->config.push_back(acceptance::ToJson(record));
}

void NodeMesh::PublishDuplicate() { this->config.push_back(nlohmann::json(this->config.back())); }

void NodeMesh::SendCall(const membership::NodeId& id, bool idempotent) {
  const std::uint64_t number = this->next_call++;
  const std::string body = "body-" + std::to_string(number);
  this->calls[number] = Call{id, body, std::nullopt, idempotent};
  calls::CallReceived received;
  received.call = number;
  received.request = {"POST",
                      idempotent ? "/read" : "/write",
                      std::string(kServices[this->random.Uniform(2)]) + ".example",
                      {},
                      body};
  this->HandleEvent(id, received);
}

void NodeMesh::Run(utils::Duration time) {
  const utils::Timestamp end = this->now + time;
  while (this->Step(end)) {
  }
  this->now = end;
}

bool NodeMesh::Step(utils::Timestamp end) {
  std::optional<utils::Timestamp> earliest;
  const membership::NodeId* next_node = nullptr;
  for (const auto& [id, process] : this->processes) {
    const auto wake = process.node == nullptr ? std::nullopt : process.node->NextWake();
    if (wake && (!earliest || std::max(*wake, process.paused_until) < *earliest)) {
      earliest = std::max(*wake, process.paused_until);
      next_node = &id;
    }
  }
  if (!this->queue.empty() && (!earliest || this->queue.begin()->first <= *earliest)) {
    const auto first = this->queue.begin();
    if (first->first >= end) {
      return false;
    }
    this->now = std::max(this->now, first->first);
    const std::function<void()> action = std::move(first->second);
    this->queue.erase(first);
    action();
    return true;
  }
  if (!earliest || *earliest >= end) {
    return false;
  }
  this->now = std::max(this->now, *earliest);
  this->HandleEvent(membership::NodeId(*next_node), WakeUp{});
  return true;
}

void NodeMesh::At(utils::Duration delay, std::function<void()> action) {
  this->queue.emplace(this->now + delay, std::move(action));
}

void NodeMesh::ScheduleEvent(const membership::NodeId& id, utils::Duration delay, Event event) {
  const std::uint64_t boot = this->processes.at(id).boot;
  this->At(delay, [this, id, boot, event = std::move(event)] {
    const Process& process = this->processes.at(id);
    if (process.boot != boot || process.node == nullptr) {
      return;
    }
    if (process.paused_until > this->now) {
      this->ScheduleEvent(id, process.paused_until - this->now, event);
    } else {
      this->HandleEvent(id, event);
    }
  });
}

void NodeMesh::HandleEvent(const membership::NodeId& id, const Event& event) {
  Process& process = this->processes.at(id);
  if (process.node == nullptr) {
    return;
  }
  std::vector<Effect> effects = process.node->Reduce(event, this->now);
  this->CheckState(id);
  for (Effect& effect : effects) {
    this->PerformEffect(id, effect);
  }
}

void NodeMesh::PerformEffect(const membership::NodeId& id, Effect& effect) {
  Process& process = this->processes.at(id);
  if (const auto* send = std::get_if<SendMessage>(&effect)) {
    this->Send(id, *send);
  } else if (const auto* violated = std::get_if<InvariantViolated>(&effect)) {
    this->RecordViolation(id + " " + violated->invariant + ": " + violated->detail);
  } else if (const auto* read = std::get_if<distribution::ReadLog>(&effect)) {
    this->ReadLog(id, *read, this->now + read->wait);
  } else if (const auto* append = std::get_if<distribution::AppendLog>(&effect)) {
    this->AppendLog(id, *append);
  } else if (const auto* answer = std::get_if<calls::AnswerCaller>(&effect)) {
    this->calls.at(answer->call).answer = answer->answer;
  } else if (const auto* run = std::get_if<calls::RunOnBackendServer>(&effect)) {
    this->RunRequest(id, *run);
  } else if (const auto* cancel = std::get_if<calls::CancelOnBackendServer>(&effect)) {
    if (process.runs.erase(cancel->run) > 0) {
      this->ScheduleEvent(
          id, utils::Milliseconds(1),
          calls::BackendServerFailed{cancel->run, calls::BackendFailure::kCancelled, false});
    }
  }
}

void NodeMesh::Send(const membership::NodeId& from, const SendMessage& send) {
  auto sealed = this->processes.at(from).envelope->Seal(send.to, send.message);
  const int copies = this->random.Bernoulli(this->faults.duplicate_probability) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (!this->random.Bernoulli(this->faults.loss_probability)) {
      this->At(utils::Duration(200) + this->random.Jitter(this->faults.delay),
               [this, from, to = send.to, bytes = *sealed] { this->Deliver(from, to, bytes); });
    }
  }
}

void NodeMesh::Deliver(const membership::NodeId& from, const membership::NodeId& to,
                       const std::string& bytes) {
  const auto receiver = this->processes.find(to);
  if (receiver == this->processes.end() || receiver->second.node == nullptr ||
      this->IsPartitioned(this->processes.at(from).zone, receiver->second.zone)) {
    return;
  }
  const auto opened = receiver->second.envelope->Open(bytes);
  if (opened) {
    this->ScheduleEvent(to, utils::Duration::zero(),
                        MessageReceived{opened->sender, opened->message});
  } else if (opened.error().code != utils::ErrorCode::kMessageReplayed) {
    this->RecordViolation("message was rejected: " + utils::ToString(opened.error()));
  }
}

bool NodeMesh::IsPartitioned(const std::string& left, const std::string& right) const {
  return left != right && (this->faults.partitioned_zones.contains(left) ||
                           this->faults.partitioned_zones.contains(right));
}

bool NodeMesh::ReachesLog(const membership::NodeId& id) const {
  return !this->faults.log_down &&
         !this->faults.partitioned_zones.contains(this->processes.at(id).zone);
}

void NodeMesh::ReadLog(const membership::NodeId& id, const distribution::ReadLog& read,
                       utils::Timestamp deadline) {
  const utils::Duration delay = utils::Milliseconds(this->faults.log_slow ? 1'500 : 2);
  if (!this->ReachesLog(id)) {
    const utils::Error error{utils::ErrorCode::kLogUnavailable, "no answer", ""};
    this->ScheduleEvent(
        id, utils::Milliseconds(200),
        distribution::LogReadFailed{read.request, read.stream, error, std::nullopt});
    return;
  }
  const auto& records =
      read.stream == distribution::Stream::kConfig ? this->config : this->snapshots;
  if (records.size() < read.from && this->now < deadline) {
    const std::uint64_t boot = this->processes.at(id).boot;
    this->At(utils::Milliseconds(20), [this, id, read, deadline, boot] {
      if (this->processes.at(id).boot == boot) {
        this->ReadLog(id, read, deadline);
      }
    });
    return;
  }
  distribution::LogRead answer;
  answer.request = read.request;
  answer.stream = read.stream;
  answer.first_kept = 1;
  answer.head = records.size();
  answer.next = read.from;
  while (answer.next <= records.size() && answer.records.size() < read.limit) {
    answer.records.push_back({answer.next, records[answer.next - 1]});
    ++answer.next;
  }
  this->ScheduleEvent(id, delay, std::move(answer));
}

void NodeMesh::AppendLog(const membership::NodeId& id, const distribution::AppendLog& append) {
  const utils::Error error{utils::ErrorCode::kLogUnavailable, "no answer", ""};
  if (!this->ReachesLog(id)) {
    this->ScheduleEvent(id, utils::Milliseconds(200),
                        distribution::LogAppendFailed{append.request, error});
    return;
  }
  this->snapshots.push_back(append.value);
  if (this->faults.log_slow && this->random.Bernoulli(0.3)) {
    this->ScheduleEvent(id, utils::Seconds(1),
                        distribution::LogAppendFailed{append.request, error});
  } else {
    this->ScheduleEvent(id, utils::Milliseconds(3),
                        distribution::LogAppendDone{append.request, this->snapshots.size()});
  }
}

void NodeMesh::RunRequest(const membership::NodeId& id, const calls::RunOnBackendServer& run) {
  Process& process = this->processes.at(id);
  if (!process.backend_up) {
    this->ScheduleEvent(
        id, utils::Milliseconds(1),
        calls::BackendServerFailed{run.run, calls::BackendFailure::kNotConnected, true});
    return;
  }
  ++this->runs_of_body[run.request.body];
  process.runs.insert(run.run);
  const std::uint64_t boot = process.boot;
  this->At(
      utils::Milliseconds(2) + this->random.Jitter(utils::Milliseconds(20)), [this, id, boot, run] {
        Process& owner = this->processes.at(id);
        if (owner.boot == boot && owner.runs.erase(run.run) > 0) {
          this->ScheduleEvent(id, utils::Duration::zero(),
                              calls::BackendServerAnswered{run.run, {200, {}, run.request.body}});
        }
      });
}

void NodeMesh::CheckState(const membership::NodeId& id) {
  Process& process = this->processes.at(id);
  const acceptance::State& state = process.node->InForce();
  const auto [seen, added] = this->hash_by_offset.try_emplace(state.HeadOffset(), state.Hash());
  if (seen->second != state.Hash()) {
    this->RecordViolation(id + " P3: different states at offset " +
                          std::to_string(state.HeadOffset()));
  }
  if (!process.node->GetStatus().ready) {
    return;
  }
  if (state.HeadOffset() < process.highest_served_offset) {
    this->RecordViolation(id + " P1: serves offset " + std::to_string(state.HeadOffset()) +
                          " after " + std::to_string(process.highest_served_offset));
  }
  process.highest_served_offset = std::max(process.highest_served_offset, state.HeadOffset());
}

void NodeMesh::CheckCalls() {
  for (const auto& [number, call] : this->calls) {
    if (!call.answer) {
      continue;
    }
    const auto found = this->runs_of_body.find(call.body);
    const int runs = found == this->runs_of_body.end() ? 0 : found->second;
    if (call.answer->kind == calls::ResultKind::kAnswered &&
        call.answer->response.body != call.body) {
      this->RecordViolation("P4: call " + call.body + " received the answer " +
                            call.answer->response.body);
    }
    if (call.answer->kind == calls::ResultKind::kNotRun && runs > 0) {
      this->RecordViolation("P5: call " + call.body + " ran and was answered not-run");
    }
    if (!call.idempotent && runs > 1) {
      this->RecordViolation("P6: call " + call.body + " ran " + std::to_string(runs) + " times");
    }
  }
}

std::size_t NodeMesh::CountAnswers(calls::ResultKind kind) const {
  return static_cast<std::size_t>(
      std::count_if(this->calls.begin(), this->calls.end(), [kind](const auto& entry) {
        return entry.second.answer && entry.second.answer->kind == kind;
      }));
}

bool NodeMesh::Converged() const {
  return std::all_of(this->processes.begin(), this->processes.end(), [this](const auto& entry) {
    const Node* node = entry.second.node.get();
    return node == nullptr ||
           (node->GetStatus().ready && node->InForce().HeadOffset() == this->config.size());
  });
}

std::string NodeMesh::Describe() const {
  std::string text = "log head " + std::to_string(this->config.size());
  for (const auto& [id, process] : this->processes) {
    if (process.node != nullptr) {
      const Status status = process.node->GetStatus();
      text.append("\n").append(id).append(" in force ").append(std::to_string(status.in_force));
      text.append(" held ").append(std::to_string(status.held)).append(" ");
      text.append(std::to_string(process.node->Members().Size())).append(" members ");
      text.append(status.holding ? "holding " : "").append(status.reason);
    }
  }
  return text;
}

void NodeMesh::RecordViolation(const std::string& text) {
  if (this->violation.empty()) {
    this->violation = text;
  }
}

}  // namespace amaranthlatch::node::testing
