// Events in, effects out, in register mode.

#include "amaranthlatch/runtime/register_host.h"

#include <sodium.h>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/register_node.h"
#include "amaranthlatch/runtime/curl_http_client.h"
#include "amaranthlatch/runtime/log_line.h"
#include "amaranthlatch/runtime/nng_transport.h"
#include "amaranthlatch/runtime/restinio_server.h"
#include "amaranthlatch/runtime/traffic.h"
#include "amaranthlatch/runtime/wall_clock.h"
#include "control_listener.h"
#include "dialect_gateway.h"
#include "effect_log.h"
#include "memory_plan.h"
#include "register_metrics.h"
#include "register_options.h"

namespace amaranthlatch::runtime {

namespace {

using utils::Timestamp;

// Two reads and a write are under way at once; the rest is for connections that went silent.
constexpr std::size_t kMaxRegisterConnections = 6;
constexpr std::size_t kMaxControlConnections = 32;
constexpr std::size_t kMaxControlBodyBytes = 65536;
// An attempt on a link that cannot be made is given up early enough to be made elsewhere.
constexpr utils::Duration kDialLimit = utils::Milliseconds(300);
// Between probes of a link; nng_transport.h tells after how many it is made anew.
constexpr utils::Duration kKeepAliveInterval = utils::Milliseconds(250);
// A backend server may think for as long as its request's deadline allows: only the network shows
// that a connection is silent, by bytes that nobody acknowledges.
constexpr utils::Duration kNoSilenceLimit = utils::Duration(0);
// The backend server is on the same instance and acknowledges at once.
constexpr utils::Duration kBackendAcknowledgeLimit = utils::Milliseconds(700);
// The register may be in another region, behind a link that loses packets.
constexpr utils::Duration kRegisterAcknowledgeLimit = utils::Milliseconds(2000);
constexpr utils::Duration kConnectLimit = utils::Milliseconds(500);
// Time after the last answer in which it leaves the process.
constexpr utils::Duration kFlushTime = utils::Milliseconds(100);
// Left over from the shutdown limit for the end of the process itself.
constexpr utils::Duration kExitTime = utils::Milliseconds(300);

std::uint64_t RandomNumber() {
  std::uint64_t number = 0;
  randombytes_buf(&number, sizeof(number));
  return number;
}

}  // namespace

class RegisterHost::Impl final : public TransportListener,
                                 public NodeGate,
                                 public details::ConfigurationView {
 public:
  Impl(asio::io_context& context, const RegisterSettings& settings, Adapter& adapter,
       std::function<void(StopReason)> on_stopped)
      : context(context),
        settings(settings),
        adapter(adapter),
        on_stopped(std::move(on_stopped)),
        wake_timer(context),
        drain_timer(context),
        gateway(
            this->clock, adapter.Callers(), *this,
            [this](const calls::CallReceived& call) { this->Apply(call); },
            [this](const calls::CallerGone& gone) { this->Apply(gone); }),
        announcements(settings.backend_service, settings.backend_address),
        control([this](const calls::HttpRequest& request) {
          return this->adapter.Control(*this, request);
        }),
        ready(this->control),
        admin([this](const calls::HttpRequest& request) { return this->Admin(request); }) {}

  utils::Result<void> Open() {
    if (sodium_init() < 0) {
      return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "libsodium does not initialise");
    }
    this->boot_id = RandomNumber();
    auto created = node::RegisterNode::Create(
        details::MakeRegisterNodeOptions(this->settings, RandomNumber(), this->boot_id));
    auto sealer =
        node::Envelope::Create(this->settings.node_address, this->boot_id, this->settings.secret);
    if (!created || !sealer) {
      return tl::unexpected(created ? sealer.error() : created.error());
    }
    this->node = std::move(*created);
    this->envelope.emplace(std::move(*sealer));
    if (auto opened = this->OpenClients(); !opened) {
      return opened;
    }
    return this->OpenServers();
  }

  void Start() {
    LogLine("started")
        .Add("id", this->settings.node_address)
        .Add("boot", this->boot_id)
        .Add("region", this->settings.region)
        .Add("zone", this->settings.zone)
        .Add("service", this->settings.backend_service)
        .Info();
    this->Apply(node::WakeUp{});
  }

  void BeginDrain() {
    if (this->draining || this->stopped) {
      return;
    }
    this->draining = true;
    this->After(this->settings.shutdown_limit - kExitTime, StopReason::kDrainTimedOut);
    LogLine("drain-started").Add("open_calls", this->gateway.OpenCalls()).Info();
    this->data_server->AskToClose();
    this->Apply(node::DrainRequested{});
  }

  void OnMessage(std::string bytes) override {
    auto opened = this->envelope->Open(bytes);
    if (!opened || this->stopped) {
      return;
    }
    if (KindOf(opened->message).is_answer) {
      this->transport->NoteAnswered(opened->sender);
    } else {
      this->transport->NoteHeard(opened->sender);
    }
    this->Apply(node::MessageReceived{std::move(opened->sender), std::move(opened->message)});
  }

  void OnPeerLost(const membership::NodeId& peer) override {
    LogLine("peer-lost").Add("id", peer).Info();
    this->Apply(node::PeerUnreachable{peer});
  }

  directory::ConfigurationStatus Status() const override {
    return this->node->ConfigurationStatus();
  }

  bool HasHost(std::string_view host) const override {
    const auto configuration = this->node->Configuration();
    return configuration != nullptr && configuration->HasHost(host);
  }

  bool Ready() const override { return this->node->Ready() && !this->stopped; }

  utils::Result<void> Announce(Announcement announcement) override {
    const std::optional<Announcement> before = this->announcements.Newest();
    if (auto taken = this->announcements.Take(announcement); !taken) {
      ++this->announcements_refused;
      return taken;
    }
    const bool changed = !before || before->draining != announcement.draining ||
                         before->server != announcement.server;
    if (changed) {
      LogLine("backend-server-announced")
          .Add("process", announcement.server.process)
          .Add("service", announcement.server.service)
          .Add("slots", announcement.server.slots)
          .Add("draining", announcement.draining ? "true" : "false")
          .Info();
    }
    if (announcement.draining) {
      this->backend_server->Leave();
      this->Apply(directory::BackendServerUnavailable{this->announcements.LatestWithdrawal()});
    } else {
      this->backend_server->Announce(std::move(announcement.server));
    }
    return {};
  }

  utils::Result<void> Leave(std::string_view process) override {
    if (!this->announcements.TakeLeave(process, WallTimeMilliseconds())) {
      return {};
    }
    LogLine("backend-server-leaves").Add("process", process).Info();
    this->backend_server->Leave();
    this->Apply(directory::BackendServerUnavailable{this->announcements.LatestWithdrawal()});
    return {};
  }

 private:
  utils::Result<void> OpenClients() {
    CurlHttpClientOptions options;
    options.connect_limit = kConnectLimit;
    options.acknowledge_limit = kBackendAcknowledgeLimit;
    options.max_buffered_bytes = this->memory.answer_bytes;
    auto backend = CurlHttpClient::Create(this->context, options);
    options.max_connections = kMaxRegisterConnections;
    options.acknowledge_limit = kRegisterAcknowledgeLimit;
    options.max_buffered_bytes = this->memory.register_bytes;
    auto for_register = CurlHttpClient::Create(this->context, options);
    if (!backend || !for_register) {
      return tl::unexpected(backend ? for_register.error() : backend.error());
    }
    this->backend_client = std::move(*backend);
    this->register_http_client = std::move(*for_register);
    this->backend_server = std::make_unique<BackendServerLink>(
        this->context, this->clock, *this->backend_client, this->adapter.BackendServers(),
        kNoSilenceLimit, [this](const node::Event& event) { this->OnBackendEvent(event); });
    this->register_client = this->adapter.MakeRegisterClient(
        *this->register_http_client, details::MakeServiceDefaults(this->settings),
        [this](const directory::Event& event) {
          std::visit([this](const auto& inner) { this->ApplyDirectory(inner); }, event);
        });
    return {};
  }

  utils::Result<void> OpenServers() {
    NngTransportOptions transport_options;
    transport_options.address = this->settings.node_address;
    transport_options.secret = this->settings.secret;
    transport_options.max_message_bytes = node::kMaxEnvelopeBytes;
    transport_options.dial_limit = kDialLimit;
    transport_options.keep_alive_interval = kKeepAliveInterval;
    auto links = NngTransport::Create(this->context, transport_options, *this);
    if (!links) {
      return tl::unexpected(links.error());
    }
    this->transport = std::move(*links);
    RestinioServerOptions options;
    options.max_header_bytes = this->settings.max_header_bytes;
    options.max_connections = kMaxControlConnections;
    options.max_body_bytes = kMaxControlBodyBytes;
    const auto open = [this, &options](const std::string& address, auto& listener,
                                       std::unique_ptr<RestinioServer>& server) {
      options.address = address;
      auto opened = RestinioServer::Create(this->context, options, listener);
      if (opened) {
        server = std::move(*opened);
        listener.SetServer(*server);
      }
      return opened.map([](const auto& /*moved*/) {});
    };
    auto opened = open(this->settings.ready_address, this->ready, this->ready_server);
    if (opened) {
      opened = open(this->settings.control_address, this->control, this->control_server);
    }
    if (opened) {
      opened = open(this->settings.admin_address, this->admin, this->admin_server);
    }
    options.max_connections = this->settings.max_connections;
    options.max_body_bytes = this->settings.max_body_bytes;
    options.max_buffered_bytes = this->memory.request_bytes;
    if (opened) {
      opened = open(this->settings.data_address, this->gateway, this->data_server);
    }
    return opened;
  }

  calls::HttpResponse Admin(const calls::HttpRequest& request) const {
    if (request.method != "GET" || request.target != "/metrics") {
      return {404, {}, "no such path here\n"};
    }
    details::RegisterMetrics metrics;
    metrics.directory = this->node->DirectoryCounters();
    metrics.directory_gauges = this->node->DirectoryGauges();
    metrics.calls = this->node->CallCounters();
    metrics.gauges = this->node->CallGauges();
    metrics.authorizations = this->node->AuthorizationCounters();
    metrics.envelope = this->envelope->GetCounters();
    metrics.transport = this->transport->Counters();
    metrics.data_server = this->data_server->Counters();
    metrics.call_times = &this->gateway.CallTimes();
    metrics.added_times = &this->gateway.AddedTimes();
    metrics.run_times = &this->backend_server->RunTimes();
    metrics.ready = this->Ready();
    const directory::ConfigurationStatus status = this->Status();
    metrics.version = status.version;
    if (status.confirmed_at) {
      metrics.configuration_confirmed_age = this->clock.Now() - *status.confirmed_at;
    }
    metrics.backend_client = this->backend_client->Counters();
    metrics.bad_answers = this->backend_server->BadAnswers();
    metrics.announcements_refused = this->announcements_refused;
    metrics.call_lines_dropped =
        this->gateway.LinesDropped() + this->backend_server->LinesDropped();
    return {200, {{"content-type", "text/plain; version=0.0.4"}}, details::ToPrometheus(metrics)};
  }

  // Events of the link that concern register mode; the link reports no others.
  void OnBackendEvent(const node::Event& event) {
    if (const auto* announced = std::get_if<node::BackendServerAnnounced>(&event)) {
      this->Apply(
          directory::BackendServerReady{announced->service, announced->labels, announced->slots});
    } else if (std::holds_alternative<node::BackendServerLost>(event)) {
      LogLine("backend-server-lost").Warn();
      this->Apply(directory::BackendServerUnavailable{});
    } else if (const auto* answered = std::get_if<calls::BackendServerAnswered>(&event)) {
      this->Apply(*answered);
    } else if (const auto* failed = std::get_if<calls::BackendServerFailed>(&event)) {
      this->Apply(*failed);
    }
  }

  template <typename T>
  void ApplyDirectory(const T& event) {
    if constexpr (std::is_constructible_v<node::RegisterEvent, const T&>) {
      this->Apply(event);
    }
  }

  // The one place where the reducer is called.
  void Apply(const node::RegisterEvent& event) {
    if (this->stopped) {
      return;
    }
    for (node::RegisterEffect& effect : this->node->Reduce(event, this->clock.Now())) {
      std::visit([this](auto& inner) { this->Perform(inner); }, effect);
    }
    this->ScheduleWake();
  }

  void ScheduleWake() {
    const std::optional<Timestamp> next = this->node->NextWake();
    if (next == this->scheduled_wake || this->stopped) {
      return;
    }
    this->scheduled_wake = next;
    if (!next) {
      this->wake_timer.cancel();
      return;
    }
    this->wake_timer.expires_after(*next - this->clock.Now());
    this->wake_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        this->scheduled_wake.reset();
        this->Apply(node::WakeUp{});
      }
    });
  }

  void Perform(node::SendMessage& effect) {
    auto sealed = this->envelope->Seal(effect.to, effect.message);
    const bool expects_answer =
        std::holds_alternative<calls::Message>(effect.message) &&
        std::holds_alternative<calls::CallRequest>(std::get<calls::Message>(effect.message));
    // Shared, because the callback is copied on its way.
    const auto message = std::make_shared<const node::Message>(std::move(effect.message));
    const auto not_sent = [this, to = effect.to, message] {
      this->Apply(node::MessageNotSent{to, *message});
    };
    if (!sealed) {
      LogLine("message-not-sealed").Add("code", utils::ToNumber(sealed.error().code)).Warn();
      asio::post(this->context, not_sent);
      return;
    }
    this->transport->Send(effect.to, {std::move(*sealed), expects_answer, not_sent});
  }

  void Perform(const node::InvariantViolated& effect) {
    details::LogViolation(effect, "register-mode");
    this->Stop(StopReason::kInvariantViolated);
  }

  void Perform(const node::CallerIntakeClosed& /*effect*/) {
    LogLine("entry-closed").Add("open_calls", this->gateway.OpenCalls()).Info();
    this->data_server->BeginShutdown();
  }

  void Perform(const directory::ReadStream& effect) { this->register_client->Read(effect); }
  void Perform(const directory::WriteMember& effect) { this->register_client->Write(effect); }

  void Perform(const directory::ConfigurationActivated& effect) {
    LogLine("configuration-in-force")
        .Add("version", effect.version)
        .Add("previous", effect.previous_version)
        .Add("routes", effect.route_count)
        .Info();
  }

  void Perform(const directory::MemberChanged& effect) { details::LogMember(effect.member); }

  void Perform(const directory::RegisterReachabilityChanged& effect) {
    LogLine("register-reachable")
        .Add("stream", effect.stream == directory::Stream::kMembers ? "members" : "configuration")
        .Add("reachable", effect.reachable ? "true" : "false")
        .Add("code", utils::ToNumber(effect.error.code))
        .Add("detail", effect.error.message)
        .Warn();
  }

  void Perform(const directory::ReadSourceChanged& effect) {
    LogLine("register-reader")
        .Add("reader", effect.reader.empty() ? this->settings.node_address : effect.reader)
        .Add("self", effect.reader.empty() ? "true" : "false")
        .Info();
  }

  void Perform(const directory::ConfigurationOutdated& effect) {
    LogLine("configuration-outdated")
        .Add("version", effect.version)
        .Add("newer", effect.newer_version)
        .Add("known_from", effect.node)
        .Warn();
  }

  void Perform(const directory::EarlierWithdrawalFound& effect) {
    const bool is_withdrawn = this->announcements.Restore(effect.withdrawal);
    LogLine("backend-server-withdrawn-before")
        .Add("started_at_ms", effect.withdrawal.started_at_ms)
        .Add("departed", effect.withdrawal.IsDeparture() ? "true" : "false")
        .Add("was_announced", is_withdrawn ? "true" : "false")
        .Info();
    if (is_withdrawn) {
      this->backend_server->Leave();
      // Posted, because the effects of the current event are still being performed.
      asio::post(this->context, [this] { this->Apply(directory::BackendServerUnavailable{}); });
    }
  }

  void Perform(calls::AnswerCaller& effect) { this->gateway.Answer(std::move(effect)); }
  void Perform(const calls::RunOnBackendServer& effect) { this->backend_server->Run(effect); }
  void Perform(const calls::CancelOnBackendServer& effect) {
    this->backend_server->Cancel(effect.run);
  }

  void Perform(const calls::DrainFinished& /*effect*/) {
    LogLine("drain-finished").Info();
    this->After(kFlushTime, StopReason::kDrained);
  }

  void Perform(const calls::QuarantineChanged& effect) { details::LogEffect(effect); }

  void After(utils::Duration time, StopReason reason) {
    this->drain_timer.expires_after(time);
    this->drain_timer.async_wait([this, reason](const asio::error_code& error) {
      if (!error) {
        this->Stop(reason);
      }
    });
  }

  void Stop(StopReason reason) {
    if (this->stopped) {
      return;
    }
    this->stopped = true;
    this->wake_timer.cancel();
    this->drain_timer.cancel();
    LogLine("stopped").Add("reason", static_cast<std::uint64_t>(reason)).Info();
    asio::post(this->context, [done = this->on_stopped, reason] { done(reason); });
  }

  asio::io_context& context;
  const RegisterSettings settings;
  const details::MemoryPlan memory = details::MakeMemoryPlan(this->settings.memory_limit_bytes);
  Adapter& adapter;
  const std::function<void(StopReason)> on_stopped;
  const utils::SteadyClock clock;
  asio::steady_timer wake_timer;
  asio::steady_timer drain_timer;
  std::optional<Timestamp> scheduled_wake;
  std::unique_ptr<node::RegisterNode> node;
  std::optional<node::Envelope> envelope;
  details::DialectGateway gateway;
  AnnouncementOrder announcements;
  // One listener for each server, because each answers by its own.
  details::ControlListener control;
  details::ControlListener ready;
  details::ControlListener admin;
  std::unique_ptr<CurlHttpClient> backend_client;
  std::unique_ptr<CurlHttpClient> register_http_client;
  std::unique_ptr<BackendServerLink> backend_server;
  std::unique_ptr<RegisterClient> register_client;
  std::unique_ptr<RestinioServer> ready_server;
  std::unique_ptr<RestinioServer> control_server;
  std::unique_ptr<RestinioServer> admin_server;
  std::unique_ptr<RestinioServer> data_server;
  std::unique_ptr<NngTransport> transport;
  // Random number of this process.
  std::uint64_t boot_id = 0;
  std::uint64_t announcements_refused = 0;
  bool draining = false;
  bool stopped = false;
};

utils::Result<std::unique_ptr<RegisterHost>> RegisterHost::Create(
    asio::io_context& context, const RegisterSettings& settings, Adapter& adapter,
    std::function<void(StopReason)> stopped) {
  auto impl = std::make_unique<Impl>(context, settings, adapter, std::move(stopped));
  if (auto opened = impl->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<RegisterHost>(new RegisterHost(std::move(impl)));
}

RegisterHost::RegisterHost(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

RegisterHost::~RegisterHost() = default;

void RegisterHost::Start() { this->impl->Start(); }

void RegisterHost::BeginDrain() { this->impl->BeginDrain(); }

}  // namespace amaranthlatch::runtime
