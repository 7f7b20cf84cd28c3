// Encodes rollout messages and decodes them with strict type and size checks.

#include "amaranthlatch/rollout/message_codec.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

#include "amaranthlatch/utils/cbor.h"
#include "evidence.h"
#include "versions.h"

namespace amaranthlatch::rollout {

namespace {

using utils::CborReader;
using utils::CborWriter;
using utils::Duration;
using utils::ErrorCode;

// Numbers of the message types, which are the indices of the variant.
enum class MessageType : std::uint8_t { kReport = 0, kDirective = 1, kRedirect = 2 };

constexpr std::size_t kMaxNameBytes = 256;
// More than a participant reports (run_counters.cc).
constexpr std::size_t kMaxRoutes = 64;
constexpr std::size_t kRouteFields = 4;
constexpr std::size_t kReportFields = 24;
constexpr std::size_t kDirectiveFields = 14;
constexpr std::size_t kRedirectFields = 6;
// Times in microseconds stay far below what a Duration holds.
constexpr std::uint64_t kMaxMicroseconds = std::uint64_t{1} << 60;

std::uint64_t ToNumber(Duration duration) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, duration.count()));
}

Duration ReadDuration(CborReader& in) {
  return Duration(static_cast<Duration::rep>(in.Number(kMaxMicroseconds)));
}

Phase ReadPhase(CborReader& in) {
  return static_cast<Phase>(in.Number(static_cast<std::uint64_t>(Phase::kRolledBack)));
}

std::string ReadName(CborReader& in) { return std::string(in.Text(kMaxNameBytes)); }

void Write(CborWriter& out, const RouteCounters& route) {
  out.Array(kRouteFields).Text(route.route).Number(route.answers).Number(route.failures);
  out.Array(2 * route.latencies.size());
  for (const LatencyCount& latency : route.latencies) {
    out.Number(latency.bucket).Number(latency.count);
  }
}

RouteCounters ReadRoute(CborReader& in) {
  RouteCounters route;
  in.ExpectArray(kRouteFields);
  route.route = ReadName(in);
  route.answers = in.Number();
  route.failures = in.Number();
  const std::size_t numbers = in.ArraySize(2 * details::kLatencyBuckets);
  if (numbers % 2 != 0) {
    in.FailWith(ErrorCode::kMessageMalformed);
  }
  for (std::size_t i = 0; i < numbers / 2 && !in.Error(); ++i) {
    LatencyCount latency;
    latency.bucket = static_cast<std::uint8_t>(in.Number(details::kLatencyBuckets - 1));
    latency.count = in.Number();
    route.latencies.push_back(latency);
  }
  return route;
}

void Write(CborWriter& out, const Report& m) {
  out.Array(kReportFields).Number(static_cast<std::uint64_t>(MessageType::kReport));
  out.Text(m.service).Number(m.order).Text(m.version).Number(m.boot_id).Number(m.server);
  out.Number(ToNumber(m.sent_at)).Number(m.term).Number(m.sequence);
  out.Number(static_cast<std::uint64_t>(m.phase))
      .Flag(m.stopped)
      .Flag(m.coordinator_lost)
      .Flag(m.in_place)
      .Flag(m.superseded);
  out.Number(ToNumber(m.elapsed)).Flag(m.available).Number(m.slots).Flag(m.accepting);
  out.Number(ToNumber(m.cold_left)).Number(m.started).Number(m.running);
  out.Number(m.allowance).Number(m.granted).Array(m.routes.size());
  for (const RouteCounters& route : m.routes) {
    Write(out, route);
  }
}

Message ReadReport(CborReader& in) {
  Report m;
  m.service = ReadName(in);
  m.order = in.Number();
  m.version = ReadName(in);
  m.boot_id = in.Number();
  m.server = in.Number();
  m.sent_at = ReadDuration(in);
  m.term = in.Number();
  m.sequence = in.Number();
  m.phase = ReadPhase(in);
  m.stopped = in.Flag();
  m.coordinator_lost = in.Flag();
  m.in_place = in.Flag();
  m.superseded = in.Flag();
  m.elapsed = ReadDuration(in);
  m.available = in.Flag();
  m.slots = in.Number32();
  m.accepting = in.Flag();
  m.cold_left = ReadDuration(in);
  m.started = in.Number();
  m.running = in.Number();
  m.allowance = in.Number();
  m.granted = in.Number();
  const std::size_t routes = in.ArraySize(kMaxRoutes);
  for (std::size_t i = 0; i < routes && !in.Error(); ++i) {
    m.routes.push_back(ReadRoute(in));
  }
  return m;
}

void Write(CborWriter& out, const Directive& m) {
  out.Array(kDirectiveFields).Number(static_cast<std::uint64_t>(MessageType::kDirective));
  out.Text(m.service).Number(m.order).Number(m.boot_id).Number(m.server);
  out.Number(m.term).Number(m.sequence).Number(static_cast<std::uint64_t>(m.phase));
  out.Number(ToNumber(m.elapsed)).Flag(m.announce).Number(m.allowance).Number(m.granted);
  out.Array(2).Number(ToNumber(m.sent_at)).Number(ToNumber(m.lease));
  out.Array(m.replaced_versions.size());
  for (const std::string& version : m.replaced_versions) {
    out.Text(version);
  }
}

Message ReadDirective(CborReader& in) {
  Directive m;
  m.service = ReadName(in);
  m.order = in.Number();
  m.boot_id = in.Number();
  m.server = in.Number();
  m.term = in.Number();
  m.sequence = in.Number();
  m.phase = ReadPhase(in);
  m.elapsed = ReadDuration(in);
  m.announce = in.Flag();
  m.allowance = in.Number();
  m.granted = in.Number();
  in.ExpectArray(2);
  m.sent_at = ReadDuration(in);
  m.lease = ReadDuration(in);
  const std::size_t versions = in.ArraySize(details::kMaxReplacedVersions);
  for (std::size_t i = 0; i < versions && !in.Error(); ++i) {
    m.replaced_versions.push_back(ReadName(in));
  }
  return m;
}

void Write(CborWriter& out, const Redirect& m) {
  out.Array(kRedirectFields).Number(static_cast<std::uint64_t>(MessageType::kRedirect));
  out.Text(m.service).Number(m.order).Text(m.coordinator).Number(m.term).Flag(m.stopped);
}

Message ReadRedirect(CborReader& in) {
  Redirect m;
  m.service = ReadName(in);
  m.order = in.Number();
  m.coordinator = ReadName(in);
  m.term = in.Number();
  m.stopped = in.Flag();
  return m;
}

struct Layout {
  // Number of elements of the array, with the type.
  std::size_t size = 0;
  Message (*read)(CborReader&) = nullptr;
};

constexpr std::array<Layout, 3> kLayouts = {Layout{kReportFields, &ReadReport},
                                            Layout{kDirectiveFields, &ReadDirective},
                                            Layout{kRedirectFields, &ReadRedirect}};

}  // namespace

std::string ToCbor(const Message& message) {
  std::string bytes;
  CborWriter out(bytes);
  std::visit([&out](const auto& m) { Write(out, m); }, message);
  return bytes;
}

utils::Result<Message> MessageFromCbor(std::string_view bytes) {
  constexpr std::size_t kMaxFields = 32;
  const auto fail = [](ErrorCode code) {
    return utils::Fail(code, "rollout message has a missing, extra or invalid field");
  };
  CborReader in(bytes);
  const std::size_t size = in.ArraySize(kMaxFields);
  const std::uint64_t type = in.Number(kLayouts.size() - 1);
  if (in.Error() || kLayouts.at(type).size != size) {
    return fail(ErrorCode::kMessageMalformed);
  }
  Message message = kLayouts.at(type).read(in);
  if (in.Error()) {
    return fail(*in.Error());
  }
  if (!in.AtEnd()) {
    return fail(ErrorCode::kMessageMalformed);
  }
  return message;
}

}  // namespace amaranthlatch::rollout
