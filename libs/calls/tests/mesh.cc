// Simulated network, nodes and backend servers.

#include "mesh.h"

#include <algorithm>
#include <variant>

#include "amaranthlatch/calls/message_codec.h"

namespace amaranthlatch::calls::testing {

namespace {
using membership::Member;
using membership::MemberState;
using utils::Duration;
using utils::Timestamp;

constexpr int kUnavailable = 503;
constexpr int kOkStatus = 200;
constexpr int kSlowFactor = 10;
constexpr char kService[] = "fleet";

bool IsLater(Timestamp left_at, std::uint64_t left, Timestamp right_at, std::uint64_t right) {
  return left_at > right_at || (left_at == right_at && left > right);
}
}  // namespace

void FakeMembers::Set(const Member& member) {
  ++this->generation;
  this->lists.clear();
  this->members[member.id] = member;
}

const Member* FakeMembers::Find(std::string_view id) const {
  const auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : &found->second;
}

template <typename Predicate>
membership::MemberList FakeMembers::Select(Predicate predicate) const {
  auto list = std::make_shared<std::vector<Member>>();
  for (const auto& [id, member] : this->members) {
    if (member.state < MemberState::kLeft && predicate(member)) {
      list->push_back(member);
    }
  }
  return list;
}

membership::MemberList FakeMembers::ServiceMembers(std::string_view service) const {
  auto found = this->lists.find(service);
  if (found == this->lists.end()) {
    auto list = this->Select([&](const Member& member) { return member.service == service; });
    found = this->lists.emplace(std::string(service), std::move(list)).first;
  }
  return found->second;
}

membership::MemberList FakeMembers::ZoneMembers(std::string_view zone) const {
  return this->Select([&](const Member& member) { return member.zone == zone; });
}

membership::MemberList FakeMembers::RegionMembers(std::string_view region) const {
  return this->Select([&](const Member& member) { return member.region == region; });
}

void FakeRoutes::Set(document::ServiceDocument document) {
  const std::string name = document.service;
  this->documents[name] = std::make_shared<const document::ServiceDocument>(std::move(document));
}

std::optional<document::RouteMatch> FakeRoutes::Match(std::string_view host, std::string_view path,
                                                      std::string_view /*method*/) const {
  const auto document = this->Find(host);
  if (!document) {
    return std::nullopt;
  }
  for (const document::Route& route : document->routes) {
    if (path.starts_with(route.path_prefix)) {
      return document::RouteMatch{document, 1, &route};
    }
  }
  return std::nullopt;
}

std::shared_ptr<const document::ServiceDocument> FakeRoutes::Find(std::string_view service) const {
  const auto found = this->documents.find(service);
  return found == this->documents.end() ? nullptr : found->second;
}

document::ServiceDocument FleetDocument() {
  document::ServiceDocument document;
  document.service = kService;
  document.hosts = {kService};
  document.versions["all"] = {};
  document.protection = {4, 100, 20, utils::Milliseconds(500), 10, 3, utils::Seconds(0)};
  document.locality = {document::LocalityPreference::kZone, 80};
  for (const char* name : {"read", "write", "permit", "batch"}) {
    document::Route route;
    route.name = name;
    route.path_prefix = "/" + route.name;
    route.split = {{kService, "all", 1}};
    route.idempotent = route.name == "read";
    route.permit_required = route.name == "permit";
    route.priority =
        route.name == "batch" ? document::Priority::kBatch : document::Priority::kInteractive;
    route.deadline = utils::Seconds(2);
    route.max_request_bytes = 4'096;
    route.max_response_bytes = 4'096;
    document.routes.push_back(route);
  }
  return document;
}

document::Route* FindRoute(document::ServiceDocument& document, const std::string& name) {
  return &*std::find_if(document.routes.begin(), document.routes.end(),
                        [&name](const auto& route) { return route.name == name; });
}

Mesh::Mesh(std::size_t count, std::uint64_t seed, const Options& options)
    : options(options), random(seed) {
  this->routes.Set(FleetDocument());
  for (std::size_t i = 0; i < count; ++i) {
    this->nodes.push_back(Node{FakeMembers(this->NodeName(i)), nullptr, {}, 0, 0, std::nullopt});
  }
  for (std::size_t i = 0; i < count; ++i) {
    this->StartNode(i);
  }
}

void Simulation::At(Duration delay, std::function<void()> action) {
  this->actions.push_back(Action{this->now + delay, ++this->last_order, std::move(action)});
  std::push_heap(this->actions.begin(), this->actions.end(), [](const auto& a, const auto& b) {
    return IsLater(a.at, a.order, b.at, b.order);
  });
}

void Simulation::RunFor(Duration duration) {
  const Timestamp end = this->now + duration;
  while (!this->actions.empty() && this->actions.front().at <= end) {
    std::pop_heap(this->actions.begin(), this->actions.end(), [](const auto& a, const auto& b) {
      return IsLater(a.at, a.order, b.at, b.order);
    });
    Action action = std::move(this->actions.back());
    this->actions.pop_back();
    this->now = action.at;
    action.run();
  }
  this->now = end;
}

std::uint64_t Mesh::Call(std::size_t node, const std::string& path, const std::string& body,
                         const std::string& permit, std::optional<Duration> remaining) {
  const std::uint64_t call = ++this->last_call;
  CallOutcome outcome;
  outcome.body = body;
  outcome.node = node;
  outcome.sent = this->now;
  outcome.lost = this->nodes[node].calls == nullptr;
  this->outcomes[call] = outcome;
  CallReceived received;
  received.call = call;
  received.request = HttpRequest{"POST", path, kService, {{"x-test", body}}, body};
  received.permit = permit;
  received.remaining = remaining;
  if (this->prepare) {
    this->prepare(received);
  }
  this->Deliver(node, received);
  return call;
}

void Mesh::AskPermit(std::size_t node, std::function<void(const AnswerPermit&)> callback,
                     const std::string& path) {
  const std::uint64_t request = ++this->last_call;
  this->permit_callbacks[request] = std::move(callback);
  this->Deliver(node, PermitAsked{request, kService, path, "POST"});
}

std::string Mesh::GetPermit(std::size_t node) {
  std::string permit;
  this->AskPermit(node, [&permit](const AnswerPermit& answer) { permit = answer.permit; });
  this->RunFor(utils::Milliseconds(20));
  return permit;
}

void Mesh::Deliver(std::size_t index, const Event& event) {
  Node& node = this->nodes[index];
  if (!node.calls) {
    return;
  }
  std::vector<Effect> effects = node.calls->Reduce(event, this->now, node.members, this->routes);
  if (this->first_error.empty() && !node.calls->FirstViolation().empty()) {
    this->first_error = "invariant violation: " + node.calls->FirstViolation();
  }
  for (Effect& effect : effects) {
    this->HandleEffect(index, std::move(effect));
  }
  this->ScheduleWake(index);
}

void Mesh::ScheduleWake(std::size_t index) {
  Node& node = this->nodes[index];
  if (!node.calls) {
    return;
  }
  const std::optional<Timestamp> next = node.calls->NextWake();
  if (!next || (node.wake && *node.wake <= *next)) {
    return;
  }
  node.wake = next;
  this->At(std::max(Duration::zero(), *next - this->now), [this, index, at = *next] {
    if (this->nodes[index].wake == at) {
      this->nodes[index].wake.reset();
      this->Deliver(index, WakeUp{});
    }
  });
}

void Mesh::HandleEffect(std::size_t node, Effect effect) {
  if (const auto* send = std::get_if<SendMessage>(&effect)) {
    this->Send(node, this->IndexOf(send->to), send->message);
  } else if (const auto* answered = std::get_if<AnswerCaller>(&effect)) {
    this->RecordAnswer(*answered);
  } else if (const auto* permit = std::get_if<AnswerPermit>(&effect)) {
    const auto callback = this->permit_callbacks[permit->request];
    callback(*permit);
  } else if (const auto* run = std::get_if<RunOnBackendServer>(&effect)) {
    this->Run(node, *run);
  } else if (const auto* cancel = std::get_if<CancelOnBackendServer>(&effect)) {
    this->EndRun(node, this->nodes[node].boot, cancel->run,
                 BackendServerFailed{cancel->run, BackendFailure::kCancelled, false});
  } else {
    if (std::holds_alternative<DrainFinished>(effect)) {
      this->drained.insert(node);
    }
    this->other_effects.push_back(std::move(effect));
  }
}

void Mesh::RecordAnswer(const AnswerCaller& answered) {
  CallOutcome& outcome = this->outcomes.at(answered.call);
  if (outcome.answer && this->first_error.empty()) {
    this->first_error = "a call was answered twice";
  }
  outcome.answer = answered.answer;
  outcome.ended = this->now;
  const bool mismatched = answered.answer.kind == ResultKind::kAnswered &&
                          answered.answer.response.body != "answer to " + outcome.body;
  if (mismatched && this->first_error.empty()) {
    this->first_error = "a call received the answer of another request";
  }
}

std::size_t Mesh::IndexOf(const membership::NodeId& id) const {
  std::size_t index = 0;
  while (this->NodeName(index) != id) {
    ++index;
  }
  return index;
}

void Mesh::Send(std::size_t from, std::size_t to, const Message& message) {
  if (this->filter && !this->filter(from, to, message)) {
    return;
  }
  // Every message is encoded and decoded, to test the codec as well.
  const auto decoded = MessageFromCbor(ToCbor(message));
  if (!decoded || *decoded != message) {
    this->first_error = "encoding and decoding changed a message";
    return;
  }
  const bool partitioned = this->network.partitioned.contains({from, to}) ||
                           this->network.partitioned.contains({to, from});
  if (!this->nodes[to].calls && this->random.Bernoulli(0.5)) {
    if (const auto* request = std::get_if<CallRequest>(&message)) {
      this->At({}, [this, from, id = request->id] { this->Deliver(from, AttemptNotSent{id}); });
    }
    return;
  }
  if (partitioned || !this->nodes[to].calls) {
    this->At(utils::Milliseconds(3),
             [this, from, to] { this->Deliver(from, PeerUnreachable{this->NodeName(to)}); });
    return;
  }
  const int copies = this->random.Bernoulli(this->network.duplicate_rate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (this->random.Bernoulli(this->network.loss_rate)) {
      continue;
    }
    Duration delay = this->network.delay + this->random.Jitter(this->network.delay);
    if (this->random.Bernoulli(this->network.delay_rate)) {
      delay += this->random.Jitter(this->network.max_extra_delay);
    }
    this->At(delay, [this, from, to, message] {
      this->Deliver(to, PeerMessage{this->NodeName(from), message});
    });
  }
}

void Mesh::Run(std::size_t index, const RunOnBackendServer& run) {
  Backend& backend = this->nodes[index].backend;
  const std::uint64_t boot = this->nodes[index].boot;
  if (backend.mode == BackendMode::kDead) {
    this->At(utils::Milliseconds(1), [this, index, boot, id = run.run] {
      if (this->nodes[index].boot == boot) {
        this->Deliver(index, BackendServerFailed{id, BackendFailure::kNotConnected, true});
      }
    });
    return;
  }
  backend.running[run.run] = run.request.body;
  BackendServerAnswered answered{run.run, {}};
  const bool is_refused =
      backend.mode == BackendMode::kShedding ||
      (backend.refused_share > 0.0 && this->random.Bernoulli(backend.refused_share));
  if (is_refused) {
    answered.response = {kUnavailable, {{"amaranthlatch-not-run", "true"}}, "busy"};
  } else {
    ++this->runs[run.request.body];
    answered.response = {kOkStatus, {}, "answer to " + run.request.body};
  }
  if (run.request.body.starts_with("poison")) {
    this->At(utils::Milliseconds(2), [this, index] { this->KillBackend(index); });
    return;
  }
  if (backend.mode == BackendMode::kSilent) {
    return;
  }
  Duration time = backend.service_time / 2 + this->random.Jitter(backend.service_time);
  if (this->random.Bernoulli(backend.slow_share)) {
    time *= kSlowFactor;
  }
  if (backend.overload_threshold != 0 && backend.running.size() > backend.overload_threshold) {
    const auto running = static_cast<Duration::rep>(backend.running.size());
    const auto threshold = static_cast<Duration::rep>(backend.overload_threshold);
    time = time * running * running / (threshold * threshold);
  }
  if (is_refused) {
    time = utils::Milliseconds(1);
  }
  if (backend.reports_time) {
    answered.response.headers.emplace_back(kBackendTimeField, std::to_string(time.count()));
  }
  this->At(time,
           [this, index, boot, answered] { this->EndRun(index, boot, answered.run, answered); });
}

void Mesh::EndRun(std::size_t index, std::uint64_t boot, std::uint64_t run, const Event& event) {
  Node& node = this->nodes[index];
  if (node.boot != boot || node.backend.running.erase(run) == 0) {
    return;
  }
  this->At({}, [this, index, boot, event] {
    if (this->nodes[index].boot == boot) {
      this->Deliver(index, event);
    }
  });
}

void Mesh::KillNode(std::size_t index) {
  Node& node = this->nodes[index];
  node.calls.reset();
  node.wake.reset();
  this->drained.erase(index);
  node.boot = 0;
  node.backend.running.clear();
  for (auto& [call, outcome] : this->outcomes) {
    outcome.lost = outcome.lost || (outcome.node == index && !outcome.answer);
  }
}

void Mesh::StartNode(std::size_t index) {
  if (!this->nodes[index].calls) {
    this->StartProcess(index, nullptr);
  }
}

void Mesh::SetPolicy(std::size_t index, std::unique_ptr<BalancePolicy> policy) {
  this->nodes[index].calls.reset();
  this->StartProcess(index, std::move(policy));
  this->Publish(index, MemberState::kReady);
}

void Mesh::StartProcess(std::size_t index, std::unique_ptr<BalancePolicy> policy) {
  Node& node = this->nodes[index];
  Options node_options = this->options;
  node_options.seed = this->random.Next();
  node.calls = std::make_unique<Calls>(std::move(*Calls::Create(node_options, std::move(policy))));
  node.boot = ++this->last_boot;
  ++node.incarnation;
  this->Publish(index, MemberState::kReady, node.boot <= this->nodes.size());
  this->Deliver(index, AdmissionChanged{true});
  if (node.backend.mode != BackendMode::kDead) {
    this->Deliver(index, BackendServerChanged{kService, node.backend.slots, true});
  }
}

void Mesh::KillBackend(std::size_t index) {
  Backend& backend = this->nodes[index].backend;
  if (backend.mode == BackendMode::kDead) {
    return;
  }
  ++this->backend_crashes;
  backend.mode = BackendMode::kDead;
  const auto running = std::move(backend.running);
  backend.running.clear();
  for (const auto& [run, body] : running) {
    this->Deliver(index, BackendServerFailed{run, BackendFailure::kConnectionLost, true});
  }
  this->Deliver(index, BackendServerChanged{kService, backend.slots, false});
}

void Mesh::StartBackend(std::size_t index) {
  Backend& backend = this->nodes[index].backend;
  backend.mode = BackendMode::kNormal;
  this->Deliver(index, BackendServerChanged{kService, backend.slots, true});
}

void Mesh::Publish(std::size_t index, MemberState state, bool at_once) {
  const Node& node = this->nodes[index];
  Member member;
  member.id = this->NodeName(index);
  member.region = "region";
  member.zone = "zone";
  member.service = kService;
  member.incarnation = node.incarnation;
  member.boot_id = node.boot;
  member.state = state;
  member.slots = node.backend.slots;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    if (at_once || i == index) {
      this->nodes[i].members.Set(member);
    } else {
      this->At(this->random.Jitter(utils::Seconds(1)),
               [this, i, member] { this->nodes[i].members.Set(member); });
    }
  }
}

int Mesh::RunsOf(const std::string& body) const {
  const auto found = this->runs.find(body);
  return found == this->runs.end() ? 0 : found->second;
}

Answer Mesh::AnswerOf(std::uint64_t call) const {
  const CallOutcome& outcome = this->outcomes.at(call);
  Answer none;
  none.message = "no answer";
  return outcome.answer.value_or(none);
}

}  // namespace amaranthlatch::calls::testing
