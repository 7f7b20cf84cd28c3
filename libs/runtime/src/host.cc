// Events in, effects out.

#include "amaranthlatch/runtime/host.h"

#include <sodium.h>

#include <algorithm>
#include <asio/post.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/node.h"
#include "amaranthlatch/runtime/admin_interface.h"
#include "amaranthlatch/runtime/audit.h"
#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/runtime/caller_gateway.h"
#include "amaranthlatch/runtime/curl_http_client.h"
#include "amaranthlatch/runtime/log_client.h"
#include "amaranthlatch/runtime/log_line.h"
#include "amaranthlatch/runtime/nng_transport.h"
#include "amaranthlatch/runtime/node_metrics.h"
#include "amaranthlatch/runtime/restinio_server.h"
#include "amaranthlatch/runtime/traffic.h"
#include "amaranthlatch/runtime/wall_clock.h"
#include "host_timers.h"
#include "observability/effect_log.h"
#include "random_number.h"
#include "settings/node_options.h"

namespace amaranthlatch::runtime {

namespace {

using utils::Timestamp;

constexpr std::size_t kMaxAuditEntries = 4096;
// The log is read by one long poll, and now and then a snapshot.
constexpr std::size_t kMaxLogConnections = 4;
constexpr std::size_t kMaxAdminConnections = 32;
constexpr std::size_t kMaxAdminBodyBytes = 65536;
// Time after a drain in which the last answers and messages leave the process.
constexpr utils::Duration kFlushTime = utils::Milliseconds(300);
constexpr utils::Duration kDrainMargin = utils::Seconds(1);
// Publish records older than this are replayed history and say nothing about convergence.
constexpr std::uint64_t kMaxConvergenceMs = 60'000;

}  // namespace

class Host::Impl final : public TransportListener, public NodeControl {
 public:
  Impl(asio::io_context& context, const Settings& settings,
       std::function<void(StopReason)> on_stopped)
      : context(context),
        settings(settings),
        timers(
            context, this->clock, [this] { this->OnWake(); }, std::move(on_stopped)),
        gateway(this->clock, [this](const node::Event& event) { this->Apply(event); }),
        admin(*this) {}

  utils::Result<void> Open() {
    if (sodium_init() < 0) {
      return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "libsodium does not initialise");
    }
    const std::uint64_t boot_id = details::RandomNumber();
    auto created = node::Node::Create(details::MakeNodeOptions(
        this->settings, details::RandomNumber(), boot_id, WallTimeMilliseconds()));
    if (!created) {
      return tl::unexpected(created.error());
    }
    this->node = std::move(*created);
    auto sealer =
        node::Envelope::Create(this->settings.node_address, boot_id, this->settings.secret);
    if (!sealer) {
      return tl::unexpected(sealer.error());
    }
    this->envelope.emplace(std::move(*sealer));
    if (auto opened = this->OpenClients(); !opened) {
      return opened;
    }
    return this->OpenServers();
  }

  void Start() {
    LogLine("started")
        .Add("id", this->settings.node_address)
        .Add("data_address", this->settings.data_address)
        .Add("admin_address", this->settings.admin_address)
        .Add("region", this->settings.region)
        .Add("zone", this->settings.zone)
        .Info();
    this->Apply(node::WakeUp{});
  }

  void BeginDrain() override {
    if (this->draining || this->timers.Stopped()) {
      return;
    }
    this->draining = true;
    this->timers.StopAfter(this->LongestDeadline() + kDrainMargin, StopReason::kDrainTimedOut);
    LogLine("drain-started").Add("open_calls", this->gateway.OpenCalls()).Info();
    this->data_server->BeginShutdown();
    this->Apply(node::DrainRequested{});
  }

  void OnMessage(std::string bytes) override {
    auto opened = this->envelope->Open(bytes);
    if (!opened || this->timers.Stopped()) {
      return;
    }
    if (KindOf(opened->message).is_answer) {
      this->transport->NoteAnswered(opened->sender);
    } else {
      this->transport->NoteHeard(opened->sender);
    }
    this->traffic.Count(Direction::kReceived, opened->message, this->RegionOf(opened->sender),
                        bytes.size());
    this->Apply(node::MessageReceived{std::move(opened->sender), std::move(opened->message)});
  }

  void OnPeerLost(const membership::NodeId& peer) override {
    this->Apply(node::PeerUnreachable{peer});
  }

  const node::Node& GetNode() const override { return *this->node; }

  const AuditTrail& Audit() const override { return this->audit; }

  std::string Metrics() const override {
    NodeMetrics metrics;
    metrics.counters = this->node->GetCounters();
    metrics.envelope = this->envelope->GetCounters();
    metrics.transport = this->transport->Counters();
    metrics.data_server = this->data_server->Counters();
    metrics.admin_server = this->admin_server->Counters();
    metrics.traffic = &this->traffic;
    metrics.call_times = &this->gateway.CallTimes();
    metrics.added_times = &this->gateway.AddedTimes();
    metrics.run_times = &this->backend_server->RunTimes();
    metrics.reducer_times = &this->reducer_times;
    metrics.convergence_times = &this->convergence_times;
    const node::Status status = this->node->GetStatus();
    metrics.ready = status.ready;
    metrics.held = status.held;
    metrics.in_force = status.in_force;
    metrics.timer_wakes = this->timer_wakes;
    metrics.seal_failures = this->seal_failures;
    return ToPrometheus(metrics);
  }

  void AnnounceBackendServer(BackendServer server) override {
    const bool first = this->backend_server->Server() != server;
    if (first) {
      LogLine("backend-server-announced")
          .Add("service", server.service)
          .Add("address", server.address)
          .Add("slots", server.slots)
          .Info();
    }
    this->backend_server->Announce(std::move(server));
  }

  void BackendServerLeaves() override {
    LogLine("backend-server-leaves").Info();
    // Calls in flight there finish; the node goes on as an entry for callers.
    this->backend_server->Leave();
    this->Apply(node::BackendServerLost{});
  }

 private:
  utils::Result<void> OpenClients() {
    auto backend = CurlHttpClient::Create(this->context, {});
    CurlHttpClientOptions log_options;
    log_options.max_connections = kMaxLogConnections;
    auto log = CurlHttpClient::Create(this->context, log_options);
    if (!backend || !log) {
      return tl::unexpected(backend ? log.error() : backend.error());
    }
    this->backend_client = std::move(*backend);
    this->log_http_client = std::move(*log);
    this->backend_server = std::make_unique<BackendServerLink>(
        this->context, this->clock, *this->backend_client, this->backend_dialect,
        this->settings.silent, [this](const node::Event& event) { this->OnBackendEvent(event); });
    this->log_client = std::make_unique<LogClient>(
        *this->log_http_client, this->settings.log_address, [this](const LogClient::Event& event) {
          std::visit([this](const auto& inner) { this->Apply(inner); }, event);
        });
    return {};
  }

  utils::Result<void> OpenServers() {
    NngTransportOptions transport_options;
    transport_options.address = this->settings.node_address;
    transport_options.secret = this->settings.secret;
    transport_options.max_message_bytes = node::kMaxEnvelopeBytes;
    auto links = NngTransport::Create(this->context, transport_options, *this);
    if (!links) {
      return tl::unexpected(links.error());
    }
    this->transport = std::move(*links);
    RestinioServerOptions options;
    options.address = this->settings.admin_address;
    options.max_connections = kMaxAdminConnections;
    options.max_header_bytes = this->settings.max_header_bytes;
    options.max_body_bytes = kMaxAdminBodyBytes;
    auto for_admin = RestinioServer::Create(this->context, options, this->admin);
    options.address = this->settings.data_address;
    options.max_connections = this->settings.max_connections;
    options.max_body_bytes = this->settings.max_body_bytes;
    auto for_callers = RestinioServer::Create(this->context, options, this->gateway);
    if (!for_admin || !for_callers) {
      return tl::unexpected(for_admin ? for_callers.error() : for_admin.error());
    }
    this->admin_server = std::move(*for_admin);
    this->admin.SetServer(*this->admin_server);
    this->data_server = std::move(*for_callers);
    this->gateway.SetServer(*this->data_server);
    return {};
  }

  void OnBackendEvent(const node::Event& event) {
    if (std::holds_alternative<node::BackendServerLost>(event)) {
      LogLine("backend-server-lost").Warn();
    }
    this->Apply(event);
  }

  // The one place where the reducer is called.
  void Apply(const node::Event& event) {
    if (this->timers.Stopped()) {
      return;
    }
    const Timestamp before = this->clock.Now();
    std::vector<node::Effect> effects = this->node->Reduce(event, before);
    this->reducer_times.Add(this->clock.Now() - before);
    for (node::Effect& effect : effects) {
      std::visit([this, &event](auto& inner) { this->Perform(inner, event); }, effect);
    }
    this->timers.ScheduleWake(this->node->NextWake());
  }

  void OnWake() {
    ++this->timer_wakes;
    this->Apply(node::WakeUp{});
  }

  std::string RegionOf(const membership::NodeId& id) const {
    const membership::Member* const member = this->node->Members().Find(id);
    return member == nullptr ? std::string() : member->region;
  }

  void Perform(node::SendMessage& effect, const node::Event& /*cause*/) {
    auto sealed = this->envelope->Seal(effect.to, effect.message);
    // Shared, because the callback is copied on its way.
    const auto message = std::make_shared<const node::Message>(std::move(effect.message));
    const auto not_sent = [this, to = effect.to, message] {
      this->Apply(node::MessageNotSent{to, *message});
    };
    if (!sealed) {
      ++this->seal_failures;
      asio::post(this->context, not_sent);
      return;
    }
    this->traffic.Count(Direction::kSent, *message, this->RegionOf(effect.to), sealed->size());
    this->transport->Send(effect.to,
                          {std::move(*sealed), KindOf(*message).expects_answer, not_sent});
  }

  void Perform(const node::InvariantViolated& effect, const node::Event& cause) {
    details::LogEffect(effect, cause);
    this->timers.Stop(StopReason::kInvariantViolated);
  }

  void Perform(const membership::MemberChanged& effect, const node::Event& /*cause*/) {
    details::LogEffect(effect);
  }

  void Perform(const membership::HoldChanged& effect, const node::Event& /*cause*/) {
    details::LogEffect(effect);
  }

  void Perform(const distribution::ReadLog& effect, const node::Event& /*cause*/) {
    this->log_client->Read(effect);
  }

  void Perform(const distribution::AppendLog& effect, const node::Event& /*cause*/) {
    this->log_client->Append(effect);
  }

  void Perform(const distribution::VerdictInForce& effect, const node::Event& /*cause*/) {
    const std::uint64_t now = WallTimeMilliseconds();
    const auto published = ParseWallTime(effect.verdict.published_at);
    const std::uint64_t age = published && *published < now ? now - *published : 0;
    if (published && age < kMaxConvergenceMs) {
      this->convergence_times.Add(utils::Milliseconds(static_cast<std::int64_t>(age)));
      details::LogEffect(effect);
    }
    this->audit.Add({effect.verdict, FormatWallTime(now)});
  }

  void Perform(const distribution::ReadinessChanged& effect, const node::Event& /*cause*/) {
    details::LogEffect(effect);
  }

  void Perform(const distribution::FoldStopped& effect, const node::Event& /*cause*/) {
    details::LogEffect(effect);
  }

  void Perform(calls::AnswerCaller& effect, const node::Event& /*cause*/) {
    this->gateway.Answer(std::move(effect));
  }

  void Perform(const calls::AnswerPermit& effect, const node::Event& /*cause*/) {
    this->gateway.AnswerPermit(effect);
  }

  void Perform(const calls::RunOnBackendServer& effect, const node::Event& /*cause*/) {
    this->backend_server->Run(effect);
  }

  void Perform(const calls::CancelOnBackendServer& effect, const node::Event& /*cause*/) {
    this->backend_server->Cancel(effect.run);
  }

  void Perform(const calls::DrainFinished& /*effect*/, const node::Event& /*cause*/) {
    LogLine("drain-finished").Info();
    this->timers.StopAfter(kFlushTime, StopReason::kDrained);
  }

  void Perform(const calls::QuarantineChanged& effect, const node::Event& /*cause*/) {
    details::LogEffect(effect);
  }

  utils::Duration LongestDeadline() const {
    utils::Duration longest{};
    for (const std::string& service : this->node->InForce().Services()) {
      const auto document = this->node->InForce().Find(service);
      for (const document::Route& route : document->routes) {
        longest = std::max(longest, route.deadline);
      }
    }
    return longest;
  }

  asio::io_context& context;
  const Settings settings;
  const utils::SteadyClock clock;
  details::HostTimers timers;
  std::unique_ptr<node::Node> node;
  std::optional<node::Envelope> envelope;
  CallerGateway gateway;
  AdminInterface admin;
  std::unique_ptr<CurlHttpClient> backend_client;
  std::unique_ptr<CurlHttpClient> log_http_client;
  const OwnBackendDialect backend_dialect;
  std::unique_ptr<BackendServerLink> backend_server;
  std::unique_ptr<LogClient> log_client;
  std::unique_ptr<RestinioServer> admin_server;
  std::unique_ptr<RestinioServer> data_server;
  std::unique_ptr<NngTransport> transport;
  AuditTrail audit{kMaxAuditEntries};
  Traffic traffic;
  DurationHistogram reducer_times;
  DurationHistogram convergence_times;
  std::uint64_t timer_wakes = 0;
  std::uint64_t seal_failures = 0;
  bool draining = false;
};

utils::Result<std::unique_ptr<Host>> Host::Create(asio::io_context& context,
                                                  const Settings& settings,
                                                  std::function<void(StopReason)> stopped) {
  auto impl = std::make_unique<Impl>(context, settings, std::move(stopped));
  if (auto opened = impl->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<Host>(new Host(std::move(impl)));
}

Host::Host(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

Host::~Host() = default;

void Host::Start() { this->impl->Start(); }

void Host::BeginDrain() { this->impl->BeginDrain(); }

}  // namespace amaranthlatch::runtime
