// The simulated deployment of a load pattern.

#include "pattern_player.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <numbers>
#include <optional>
#include <utility>

#include "mesh.h"

namespace amaranthlatch::calls::benchmark {

namespace {
using testing::FakeMembers;
using testing::FakeRoutes;
using utils::Duration;
using utils::Milliseconds;
using utils::Seconds;
using utils::Timestamp;

// As in libs/runtime/src/register_options.cc, which maps the settings of register mode.
constexpr std::uint32_t kFreeMoves = 3;
constexpr double kNodesSharingSlack = 24.0;
constexpr double kRetryShare = 0.5;
constexpr Duration kCrowdedAdvice = Milliseconds(200);
constexpr Duration kOtherAdvice = Milliseconds(400);

// Callers wait for at most this share of their remaining time before they call again.
constexpr double kMaxWaitShare = 1.0 / 3.0;
constexpr double kLateRefusalShare = 0.2;
constexpr double kMicrosecondsPerMs = 1e3;
constexpr double kBitsPerMegabit = 1e6;
constexpr std::size_t kMessageOverheadBytes = 200;
// Messages up to this size overtake larger ones on a link, as in the transport.
constexpr std::size_t kMaxSmallBytes = 16ULL * 1024;
constexpr Duration kRefusalTime = Milliseconds(1);
// Until all nodes know of a lost or new member; a lost connection shows earlier.
constexpr Duration kMemberDelay = Seconds(1);
constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::uint64_t kMaxBodyBytes = 1ULL << 24U;

Duration FromMs(double ms) { return Duration(static_cast<Duration::rep>(ms * kMicrosecondsPerMs)); }
double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMs;
}
Duration FromSeconds(double seconds) { return FromMs(seconds * 1e3); }

// A node and its backend server.
struct Node {
  membership::Member member;
  FakeMembers members;
  const ServicePattern* service = nullptr;
  std::size_t zone = 0;
  double speed = 1.0;
  std::unique_ptr<Calls> calls;
  Timestamp started{};
  std::optional<Timestamp> wake;
  // When the link has sent all bulk messages.
  Timestamp link_free{};
  // Start of each run, by its number.
  std::map<std::uint64_t, Timestamp> running;
  double slowdown = 1.0;
  double refuse = 0.0;
  std::uint64_t runs = 0;
  Duration busy{};
};

// A call as its caller sees it, with the requests made for it.
struct CallerState {
  const std::string* name = nullptr;
  std::size_t zone = 0;
  // The caller is the backend server of this node.
  std::optional<std::size_t> node;
  Timestamp deadline{};
  std::function<void(bool answered)> done = {};
  Timestamp sent{};
  int tries = 0;
};
using Caller = std::shared_ptr<CallerState>;

struct Request {
  Caller caller;
  std::size_t node = 0;
  Timestamp sent{};
  int arrivals = 0;
  int runs = 0;
  bool ended = false;
  bool refused = false;
};

class Player : public testing::Simulation {
 public:
  Player(const LoadPattern& pattern, const PlayOptions& options);
  PatternResult Play();

 private:
  struct Source {
    std::string type;
    std::size_t zone;
    utils::Random random;
  };

  void MakeRoutes();
  void MakeNodes();
  void ScheduleFault(const Fault& fault);
  void ScheduleArrival(Source& source);
  double RateOf(const CallType& type, std::size_t zone) const;

  void Begin(CallerState state);
  void Call(const Caller& caller);
  void OnAnswer(std::uint64_t id, const Answer& answer);
  void End(const Caller& caller, std::uint64_t CallCounts::*outcome);

  void StartNode(std::size_t index);
  void KillNode(std::size_t index);
  void AddCounters(const Node& node);
  void Publish(std::size_t index, membership::MemberState state);
  void Deliver(std::size_t index, const Event& event);
  void HandleEffect(std::size_t index, Effect effect);
  void Send(std::size_t from, std::size_t to, Message message);
  Duration Latency(std::size_t from, std::size_t to) const;
  Duration OccupyLink(Node& node, std::size_t bytes);

  void Run(std::size_t index, const RunOnBackendServer& run);
  // Makes the nested call, if any, and finishes the work.
  void RunSecondHalf(std::size_t index, std::uint64_t boot, const RunOnBackendServer& run,
                     Duration rest);
  bool IsRunning(std::size_t index, std::uint64_t boot, std::uint64_t run) const;
  void EndRun(std::size_t index, std::uint64_t boot, std::uint64_t run, const Event& event);
  void Respond(std::size_t index, std::uint64_t boot, std::uint64_t run, HttpResponse response);

  const CallType& TypeOf(const CallerState& caller) const {
    return this->pattern.call_types.at(*caller.name);
  }
  CallCounts& CountsOf(const CallerState& caller);
  void SetError(const std::string& error) {
    if (this->result.first_error.empty()) {
      this->result.first_error = error;
    }
  }

  const LoadPattern& pattern;
  const PlayOptions options;
  const Timestamp start;
  const Timestamp end;
  utils::Random random;
  FakeRoutes routes;
  std::vector<Node> nodes;
  std::map<membership::NodeId, std::size_t> index_of;
  std::vector<Source> sources;
  // By number, from 1.
  std::vector<Request> requests{1};
  std::uint64_t last_boot = 0;
  PatternResult result;
};

Player::Player(const LoadPattern& pattern, const PlayOptions& options)
    : pattern(pattern),
      options(options),
      start(this->Now()),
      end(start + FromSeconds(options.seconds > 0.0 ? options.seconds : pattern.seconds)),
      random(options.seed) {
  this->MakeRoutes();
  this->MakeNodes();
  for (const Fault& fault : pattern.faults) {
    this->ScheduleFault(fault);
  }
  const auto count = static_cast<std::size_t>((this->end - this->start) / Seconds(1)) + 1;
  for (const auto& [name, type] : pattern.call_types) {
    this->result.types[name].seconds.resize(count);
    for (std::size_t zone = 0; zone < pattern.zone_regions.size() && type.rate_per_zone > 0.0;
         ++zone) {
      // Arrivals have generators of their own, so that two versions are offered the same calls.
      this->sources.push_back({name, zone, utils::Random(this->random.Next())});
    }
  }
  for (Source& source : this->sources) {
    this->ScheduleArrival(source);
  }
}

void Player::MakeRoutes() {
  for (const auto& [service, unused] : this->pattern.services) {
    document::ServiceDocument document;
    document.service = service;
    document.versions[""] = {};
    document.protection = {100'000, 0, 256, Seconds(10), 0, 2, Seconds(0)};
    document.protection.retry_budget_percent =
        static_cast<std::uint32_t>(this->pattern.retry_ratio * kRetryShare * 100.0);
    for (const auto& [name, type] : this->pattern.call_types) {
      if (type.service != service) {
        continue;
      }
      document::Route route;
      route.name = name;
      route.path_prefix = "/" + name + "/";
      route.split = {{service, "", 1}};
      route.idempotent = type.idempotent;
      route.priority = static_cast<document::Priority>(PriorityIndex(type));
      route.deadline = FromMs(type.deadline_ms);
      route.target_latency = FromMs(type.target_ms);
      route.max_request_bytes = kMaxBodyBytes;
      route.max_response_bytes = kMaxBodyBytes;
      document.routes.push_back(route);
    }
    this->routes.Set(std::move(document));
  }
}

void Player::MakeNodes() {
  for (std::size_t zone = 0; zone < this->pattern.zone_regions.size(); ++zone) {
    for (const auto& [name, service] : this->pattern.services) {
      for (int i = 0; i < service.servers_per_zone; ++i) {
        membership::Member member;
        member.id = "10.0.0." + std::to_string(this->nodes.size()) + ":1";
        member.region = this->pattern.zone_regions[zone];
        member.zone = "z" + std::to_string(zone);
        member.service = name;
        member.slots = static_cast<std::uint32_t>(service.slots);
        this->index_of[member.id] = this->nodes.size();
        const double speed = service.speeds[static_cast<std::size_t>(i) % service.speeds.size()];
        this->nodes.push_back(
            Node{member, FakeMembers(member.id), &service, zone, speed, nullptr, {}, {}, {}, {}});
      }
    }
  }
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->StartNode(i);
  }
}

void Player::ScheduleFault(const Fault& fault) {
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    if (this->nodes[i].member.service == fault.service) {
      chosen.push_back(i);
    }
  }
  this->random.Shuffle(chosen);
  chosen.resize(static_cast<std::size_t>(
      std::lround(static_cast<double>(chosen.size()) * std::clamp(fault.share, 0.0, 1.0))));
  for (const std::size_t index : chosen) {
    this->At(FromSeconds(fault.from_s), [this, index, &fault] {
      this->nodes[index].slowdown = fault.slowdown;
      this->nodes[index].refuse = fault.refuse;
      if (fault.kill && this->nodes[index].calls) {
        this->KillNode(index);
      }
    });
    this->At(FromSeconds(fault.until_s), [this, index, &fault] {
      this->nodes[index].slowdown = 1.0;
      this->nodes[index].refuse = 0.0;
      if (fault.kill && !this->nodes[index].calls) {
        this->StartNode(index);
      }
    });
  }
}

double Player::RateOf(const CallType& type, std::size_t zone) const {
  const double seconds = ToMs(this->Now() - this->start) / 1e3;
  const double phase = type.wave.phases[zone % type.wave.phases.size()];
  double rate = type.rate_per_zone * this->options.load *
                (1.0 + type.wave.swing * std::sin(2.0 * std::numbers::pi *
                                                  (seconds / type.wave.period_s + phase)));
  for (const Burst& burst : type.bursts) {
    rate *= seconds >= burst.from_s && seconds < burst.until_s ? burst.factor : 1.0;
  }
  return std::max(rate, 1.0);
}

void Player::ScheduleArrival(Source& source) {
  const CallType& type = this->pattern.call_types.at(source.type);
  const double gap_s =
      -std::log(1.0 - source.random.UniformReal()) / this->RateOf(type, source.zone);
  this->At(FromSeconds(gap_s), [this, &source, &type] {
    if (this->Now() < this->end) {
      this->Begin({&source.type, source.zone, {}, this->Now() + FromMs(type.deadline_ms)});
      this->ScheduleArrival(source);
    }
  });
}

CallCounts& Player::CountsOf(const CallerState& caller) {
  auto& seconds = this->result.types.at(*caller.name).seconds;
  const auto second = static_cast<std::size_t>((caller.sent - this->start) / Seconds(1));
  return seconds[std::min(second, seconds.size() - 1)];
}

void Player::Begin(CallerState state) {
  state.sent = this->Now();
  ++this->CountsOf(state).offered;
  this->Call(std::make_shared<CallerState>(std::move(state)));
}

void Player::Call(const Caller& caller) {
  const CallType& type = this->TypeOf(*caller);
  std::vector<std::size_t> entries;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    const bool usable = caller->node ? i == *caller->node : this->nodes[i].zone == caller->zone;
    if (usable && this->nodes[i].calls) {
      entries.push_back(i);
    }
  }
  if (entries.empty()) {
    this->End(caller, &CallCounts::failed);
    return;
  }
  const std::size_t entry = entries[this->random.Uniform(entries.size())];
  const std::uint64_t id = this->requests.size();
  this->requests.push_back({caller, entry, this->Now()});
  ++caller->tries;
  ++this->CountsOf(*caller).requests;
  CallReceived received;
  received.call = id;
  received.request = {"POST", "/" + *caller->name + "/x", type.service, {}, std::to_string(id)};
  received.request.body.resize(
      std::max(received.request.body.size(), static_cast<std::size_t>(type.request_bytes)), ' ');
  received.remaining = caller->deadline - this->Now();
  this->Deliver(entry, received);
}

void Player::OnAnswer(std::uint64_t id, const Answer& answer) {
  Request& request = this->requests[id];
  const Caller caller = request.caller;
  const CallType& type = this->TypeOf(*caller);
  if (std::exchange(request.ended, true)) {
    this->SetError("a request was answered twice");
    return;
  }
  CallCounts& counts = this->CountsOf(*caller);
  if (answer.kind == ResultKind::kNotRun) {
    request.refused = true;
    ++counts.refusals;
    const double time_ms = ToMs(this->Now() - request.sent);
    this->result.types.at(*caller->name).refusals_ms.push_back(time_ms);
    counts.late_refusals += time_ms > type.target_ms * kLateRefusalShare ? 1 : 0;
    if (request.runs > 0) {
      this->SetError("a request that ran was refused as not run");
    }
    const bool crowded = answer.code == utils::ErrorCode::kQueueFull ||
                         answer.code == utils::ErrorCode::kBackendShed;
    const Duration advice = answer.retry_after.value_or(crowded ? kCrowdedAdvice : kOtherAdvice);
    const Duration most(static_cast<Duration::rep>(
        static_cast<double>((caller->deadline - this->Now()).count()) * kMaxWaitShare));
    if (caller->tries > type.retries || most <= Duration::zero()) {
      this->End(caller, &CallCounts::refused);
      return;
    }
    this->At(std::min(advice, most), [this, caller] { this->Call(caller); });
    return;
  }
  if (answer.kind != ResultKind::kAnswered || answer.response.status != kOk) {
    this->End(caller, &CallCounts::failed);
    return;
  }
  const double time_ms = ToMs(this->Now() - caller->sent);
  this->result.types.at(*caller->name).answers_ms.push_back(time_ms);
  this->End(caller, time_ms <= type.target_ms ? &CallCounts::in_time : &CallCounts::late);
}

void Player::End(const Caller& caller, std::uint64_t CallCounts::*outcome) {
  ++(this->CountsOf(*caller).*outcome);
  if (caller->done) {
    caller->done(outcome == &CallCounts::in_time || outcome == &CallCounts::late);
  }
}

void Player::StartNode(std::size_t index) {
  Node& node = this->nodes[index];
  Options calls;
  calls.seed = this->random.Next();
  calls.entry.max_uncounted_moves = kFreeMoves;
  calls.entry.fence_retry_interval = Milliseconds(80);
  calls.entry.fence_timeout = Milliseconds(200);
  calls.entry.retry_burst = 1.0 + this->pattern.retry_slack / kNodesSharingSlack;
  calls.gate.adaptive_concurrency_limit = this->options.adaptive_limit;
  calls.gate.transport_may_duplicate = false;
  calls.gate.retention_margin = Seconds(2);
  calls.gate.max_tracked_attempts = 65'536;
  calls.gate.refusal_filter_bits = 1ULL << 19U;
  calls.gate.link_bits_per_second =
      static_cast<std::uint64_t>(node.service->link_mbit * kBitsPerMegabit);
  const CrossingPrice& price = this->pattern.crossing;
  calls.crossing = {FromMs(price.zone_ms), FromMs(price.region_ms), FromMs(price.zone_ms_per_kb),
                    FromMs(price.region_ms_per_kb)};
  node.calls = std::make_unique<Calls>(std::move(*Calls::Create(
      calls, std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::CostsOf(calls.crossing)))));
  node.started = this->Now();
  node.member.boot_id = ++this->last_boot;
  ++node.member.incarnation;
  this->Publish(index, membership::MemberState::kReady);
  for (const Node& other : this->nodes) {
    node.members.Set(other.member);
  }
  this->Deliver(index, AdmissionChanged{true});
  this->Deliver(index, BackendServerChanged{node.member.service, node.member.slots, true});
}

void Player::AddCounters(const Node& node) {
  for (const auto member : {&Counters::calls, &Counters::attempts, &Counters::retries,
                            &Counters::retries_over_budget, &Counters::moves}) {
    this->result.counters.*member += node.calls->GetCounters().*member;
  }
}

void Player::KillNode(std::size_t index) {
  Node& node = this->nodes[index];
  this->AddCounters(node);
  node.calls.reset();
  node.wake.reset();
  node.running.clear();
  this->Publish(index, membership::MemberState::kDead);
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->At(this->Latency(index, i),
             [this, i, id = node.member.id] { this->Deliver(i, PeerUnreachable{id}); });
  }
  for (Request& request : this->requests) {
    if (request.caller && request.node == index && !std::exchange(request.ended, true)) {
      this->End(request.caller, &CallCounts::failed);
    }
  }
}

void Player::Publish(std::size_t index, membership::MemberState state) {
  Node& node = this->nodes[index];
  node.member.state = state;
  for (Node& other : this->nodes) {
    if (this->Now() == this->start || &other == &node) {
      other.members.Set(node.member);
    } else {
      this->At(this->random.Jitter(kMemberDelay),
               [&other, member = node.member] { other.members.Set(member); });
    }
  }
}

void Player::Deliver(std::size_t index, const Event& event) {
  Node& node = this->nodes[index];
  if (!node.calls) {
    return;
  }
  std::vector<Effect> effects = node.calls->Reduce(event, this->Now(), node.members, this->routes);
  if (!node.calls->FirstViolation().empty()) {
    this->SetError("invariant violation: " + node.calls->FirstViolation());
  }
  for (Effect& effect : effects) {
    this->HandleEffect(index, std::move(effect));
  }
  const std::optional<Timestamp> next = node.calls->NextWake();
  if (next && (!node.wake || *node.wake > *next)) {
    node.wake = next;
    this->At(std::max(Duration::zero(), *next - this->Now()), [this, index, at = *next] {
      if (this->nodes[index].wake == at) {
        this->nodes[index].wake.reset();
        this->Deliver(index, WakeUp{});
      }
    });
  }
}

void Player::HandleEffect(std::size_t index, Effect effect) {
  if (auto* send = std::get_if<SendMessage>(&effect)) {
    this->Send(index, this->index_of.at(send->to), std::move(send->message));
  } else if (auto* answered = std::get_if<AnswerCaller>(&effect)) {
    this->At({}, [this, id = answered->call, answer = std::move(answered->answer)] {
      this->OnAnswer(id, answer);
    });
  } else if (const auto* run = std::get_if<RunOnBackendServer>(&effect)) {
    this->Run(index, *run);
  } else if (const auto* cancel = std::get_if<CancelOnBackendServer>(&effect)) {
    this->EndRun(index, this->nodes[index].member.boot_id, cancel->run,
                 BackendServerFailed{cancel->run, BackendFailure::kCancelled, false});
  }
}

Duration Player::Latency(std::size_t from, std::size_t to) const {
  const Node& sender = this->nodes[from];
  const Node& receiver = this->nodes[to];
  if (from == to) {
    return {};
  }
  if (sender.zone == receiver.zone) {
    return FromMs(this->pattern.within_zone_ms);
  }
  return FromMs(sender.member.region == receiver.member.region ? this->pattern.between_zones_ms
                                                               : this->pattern.between_regions_ms);
}

Duration Player::OccupyLink(Node& node, std::size_t bytes) {
  if (node.service->link_mbit <= 0.0) {
    return {};
  }
  const Duration transfer =
      FromSeconds(static_cast<double>(bytes) * 8.0 / (node.service->link_mbit * kBitsPerMegabit));
  node.link_free = std::max(node.link_free, this->Now()) + transfer;
  return bytes > kMaxSmallBytes ? node.link_free - this->Now() : transfer;
}

void Player::Send(std::size_t from, std::size_t to, Message message) {
  std::size_t bytes = kMessageOverheadBytes;
  std::uint64_t call = 0;
  if (const auto* request = std::get_if<CallRequest>(&message)) {
    bytes += request->request.body.size();
    call = request->id.call;
    ++this->CountsOf(*this->requests[call].caller).sent;
  } else if (const auto* reply = std::get_if<CallReply>(&message)) {
    bytes += reply->answer.response.body.size();
    call = reply->id.call;
  }
  if (!this->nodes[to].calls) {
    // No connection can be made, so that the message has not left the sender.
    if (const auto* request = std::get_if<CallRequest>(&message)) {
      this->At(2 * this->Latency(from, to),
               [this, from, id = request->id] { this->Deliver(from, AttemptNotSent{id}); });
    }
    return;
  }
  Duration delay{};
  if (from != to) {
    delay = this->Latency(from, to) + this->OccupyLink(this->nodes[from], bytes);
  }
  if (call != 0 && this->nodes[from].zone != this->nodes[to].zone) {
    CallCounts& counts = this->CountsOf(*this->requests[call].caller);
    const bool leaves = this->nodes[from].member.region != this->nodes[to].member.region;
    (leaves ? counts.region_bytes : counts.zone_bytes) += bytes;
  }
  this->At(delay, [this, from, to, message = std::move(message)] {
    // Lost if the receiver has been lost meanwhile; the sender learns that from its connection.
    this->Deliver(to, PeerMessage{this->nodes[from].member.id, message});
  });
}

void Player::Run(std::size_t index, const RunOnBackendServer& run) {
  Node& node = this->nodes[index];
  const std::uint64_t boot = node.member.boot_id;
  Request& request = this->requests[std::stoull(run.request.body)];
  const CallType& type = this->TypeOf(*request.caller);
  CallCounts& counts = this->CountsOf(*request.caller);
  ++counts.arrivals;
  counts.repeated_arrivals += request.arrivals++ > 0 ? 1 : 0;
  node.running[run.run] = this->Now();
  if (this->random.Bernoulli(node.refuse)) {
    this->At(kRefusalTime, [this, index, boot, id = run.run] {
      this->Respond(index, boot, id, {kUnavailable, {{"amaranthlatch-not-run", "true"}}, "busy"});
    });
    return;
  }
  ++request.runs;
  ++node.runs;
  if (request.refused || (!type.idempotent && request.runs > 1)) {
    this->SetError(request.refused ? "a refused request ran" : "a request ran twice");
  }
  if (node.running.size() > static_cast<std::size_t>(node.service->slots)) {
    this->SetError("a gate used more slots than there are");
  }
  const bool is_cold = this->Now() - node.started < FromSeconds(node.service->cold_s);
  const double spread = type.work_spread * (2.0 * this->random.UniformReal() - 1.0);
  const Duration time = FromMs(type.work_ms * (1.0 + spread) / node.speed * node.slowdown *
                               (is_cold ? node.service->cold_factor : 1.0));
  this->At(time / 2, [this, index, boot, run, time] {
    this->RunSecondHalf(index, boot, run, time - time / 2);
  });
}

void Player::RunSecondHalf(std::size_t index, std::uint64_t boot, const RunOnBackendServer& run,
                           Duration rest) {
  if (!this->IsRunning(index, boot, run.run)) {
    return;
  }
  const CallType& type = this->TypeOf(*this->requests[std::stoull(run.request.body)].caller);
  const auto finish = [this, index, boot, rest, id = run.run, &type](bool answered) {
    const std::string body(static_cast<std::size_t>(type.response_bytes), 'x');
    const HttpResponse response{answered ? kOk : kBadGateway, {}, body};
    this->At(answered ? rest : Duration{}, [=, this] { this->Respond(index, boot, id, response); });
  };
  if (type.nested_type.empty() || !this->random.Bernoulli(type.nested_share)) {
    finish(true);
    return;
  }
  const Timestamp deadline = this->nodes[index].running.at(run.run) + run.remaining;
  this->Begin({&type.nested_type, this->nodes[index].zone, index, deadline, finish});
}

bool Player::IsRunning(std::size_t index, std::uint64_t boot, std::uint64_t run) const {
  return this->nodes[index].member.boot_id == boot && this->nodes[index].running.contains(run);
}

void Player::Respond(std::size_t index, std::uint64_t boot, std::uint64_t run,
                     HttpResponse response) {
  if (this->IsRunning(index, boot, run)) {
    const Duration time = this->Now() - this->nodes[index].running.at(run);
    response.headers.emplace_back(kBackendTimeField, std::to_string(time.count()));
    this->EndRun(index, boot, run, BackendServerAnswered{run, std::move(response)});
  }
}

void Player::EndRun(std::size_t index, std::uint64_t boot, std::uint64_t run, const Event& event) {
  if (!this->IsRunning(index, boot, run)) {
    return;
  }
  Node& node = this->nodes[index];
  node.busy += this->Now() - node.running.at(run);
  node.running.erase(run);
  this->At({}, [this, index, boot, event] {
    if (this->nodes[index].member.boot_id == boot) {
      this->Deliver(index, event);
    }
  });
}

PatternResult Player::Play() {
  Duration longest{};
  for (const auto& [name, type] : this->pattern.call_types) {
    longest = std::max(longest, FromMs(type.deadline_ms));
  }
  // Every call has ended within a second of its deadline.
  this->RunFor(this->end - this->start + longest + Seconds(1));
  for (const Node& node : this->nodes) {
    if (node.calls) {
      this->AddCounters(node);
    }
    const double busy = ToMs(node.busy) / ToMs(this->end - this->start) / node.service->slots;
    this->result.servers.push_back(
        {node.member.zone, node.member.service, node.speed, node.runs, busy});
  }
  for (auto& [name, type] : this->result.types) {
    std::sort(type.answers_ms.begin(), type.answers_ms.end());
    std::sort(type.refusals_ms.begin(), type.refusals_ms.end());
    const CallCounts sum = type.Sum();
    if (sum.offered != sum.in_time + sum.late + sum.refused + sum.failed) {
      this->SetError("a call of type " + name + " has not ended");
    }
  }
  return std::move(this->result);
}

}  // namespace

PatternResult PlayPattern(const LoadPattern& pattern, const PlayOptions& options) {
  return Player(pattern, options).Play();
}

}  // namespace amaranthlatch::calls::benchmark
