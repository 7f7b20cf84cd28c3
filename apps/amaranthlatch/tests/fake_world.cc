// A log, nodes and a machine in memory.

#include "fake_world.h"

#include <sodium.h>

#include <algorithm>

#include "amaranthlatch/acceptance/verdict_json.h"

namespace amaranthlatch::cli {

namespace {

using acceptance::Offset;
using nlohmann::json;

constexpr std::string_view kLogPrefix = "http://log:1/streams/";
constexpr std::string_view kNodePrefix = "http://";

std::uint64_t QueryNumber(const std::string& query, const std::string& name) {
  const std::size_t start = query.find(name + "=");
  return std::stoull(query.substr(start + name.size() + 1));
}

}  // namespace

FakeWorld::FakeWorld() { this->first_kept = {{"config", 1}, {"snapshots", 1}}; }

tl::expected<HttpResponse, HttpFailure> FakeWorld::Send(const HttpRequest& request) {
  if (request.url.starts_with(kLogPrefix)) {
    if (this->log_down) {
      return HttpResponse{503, ""};
    }
    const std::string rest = request.url.substr(kLogPrefix.size());
    const std::string stream = rest.substr(0, rest.find('/'));
    return request.method == "POST" ? this->Append(stream, json::parse(request.body))
                                    : this->ReadStream(stream, rest.substr(rest.find('?')));
  }
  const std::string rest = request.url.substr(kNodePrefix.size());
  const std::string address = rest.substr(0, rest.find('/'));
  if (!this->nodes.contains(address)) {
    return tl::unexpected(HttpFailure{false, "no connection"});
  }
  return this->AskNode(address, rest.substr(address.size()));
}

HttpResponse FakeWorld::ReadStream(const std::string& stream, const std::string& query) const {
  const auto found = this->streams.find(stream);
  const std::vector<json> none;
  const std::vector<json>& values = found == this->streams.end() ? none : found->second;
  const Offset kept = this->first_kept.at(stream);
  const Offset from = QueryNumber(query, "from");
  if (from < kept) {
    return {410, json{{"first_kept", kept}}.dump()};
  }
  // Small pages, so that reading on is tested.
  const Offset limit = std::min<Offset>(QueryNumber(query, "limit"), 3);
  json records = json::array();
  Offset next = from;
  for (; next <= values.size() && next < from + limit; ++next) {
    records.push_back({{"offset", next}, {"value", values[next - 1]}});
  }
  return {200,
          json{{"first_kept", kept}, {"head", values.size()}, {"next", next}, {"records", records}}
              .dump()};
}

tl::expected<HttpResponse, HttpFailure> FakeWorld::Append(const std::string& stream,
                                                          const json& value) {
  const AppendFault fault = this->faults.empty() ? AppendFault::kNone : this->faults.front();
  if (!this->faults.empty()) {
    this->faults.erase(this->faults.begin());
  }
  if (fault == AppendFault::kNone || fault == AppendFault::kAnswerLost) {
    this->streams[stream].push_back(value);
  }
  this->log_down = this->log_down || this->log_down_after_append;
  switch (fault) {
    case AppendFault::kAnswerLost:
    case AppendFault::kRecordLost:
      return tl::unexpected(HttpFailure{true, "timeout"});
    case AppendFault::kNotConnected:
      return tl::unexpected(HttpFailure{false, "no connection"});
    case AppendFault::kRateExceeded:
      return HttpResponse{429, ""};
    case AppendFault::kNone:
      break;
  }
  return HttpResponse{201, json{{"offset", this->streams[stream].size()}}.dump()};
}

HttpResponse FakeWorld::AskNode(const std::string& address, const std::string& path) {
  Offset& in_force = this->nodes.at(address);
  if (this->catching_up.contains(address)) {
    in_force = std::min<Offset>(in_force + 1, this->streams["config"].size());
  }
  const acceptance::State state = this->Fold(in_force);
  if (path == "/drain") {
    this->drained.insert(address);
    return {200, "{}"};
  }
  if (path.starts_with("/audit?service=")) {
    json verdicts = json::array();
    for (const auto& verdict : state.History(path.substr(path.find('=') + 1))) {
      verdicts.push_back(acceptance::ToJson(verdict));
    }
    return {200, json{{"service", "s"}, {"verdicts", verdicts}}.dump()};
  }
  if (path.starts_with("/documents/")) {
    const std::string service = path.substr(path.rfind('/') + 1);
    const auto* const accepted = state.FindAccepted(service);
    return {200, json{{"service", service}, {"document", *accepted->source}}.dump()};
  }
  json services = json::object();
  for (const std::string& service : state.Services()) {
    services[service] = state.FindAccepted(service)->version;
  }
  return {200, json{{"id", address},
                    {"zone", "z"},
                    {"region", "r"},
                    {"state", "ready"},
                    {"ready", true},
                    {"reason", ""},
                    {"held_offset", in_force},
                    {"in_force_offset", in_force},
                    {"log_head", in_force},
                    {"stopped_at", nullptr},
                    {"services", services}}
                   .dump()};
}

void FakeWorld::Sleep(utils::Duration duration) {
  ++this->slept;
  this->clock.Advance(duration);
}

std::string FakeWorld::NewPublishId() { return "new-" + std::to_string(++this->publish_ids); }

utils::Result<std::string> FakeWorld::ReadFile(const std::string& path,
                                               std::size_t max_bytes) const {
  const auto found = this->files.find(path);
  if (found == this->files.end()) {
    return utils::Fail(utils::ErrorCode::kDocumentNotJson, "the file cannot be read");
  }
  return found->second.substr(0, max_bytes + 1);
}

acceptance::State FakeWorld::Fold(Offset head) const {
  acceptance::State state;
  const auto found = this->streams.find("config");
  for (Offset offset = 1; offset <= head; ++offset) {
    state.Apply(offset, found->second.at(offset - 1));
  }
  return state;
}

void FakeWorld::WriteSnapshot() {
  constexpr std::size_t kChunkBytes = 100;
  const acceptance::State state = this->Fold(this->streams["config"].size());
  const std::string bytes = state.EncodeSnapshot();
  const std::size_t count = (bytes.size() + kChunkBytes - 1) / kChunkBytes;
  for (std::size_t index = 0; index < count; ++index) {
    const std::string chunk = bytes.substr(index * kChunkBytes, kChunkBytes);
    std::string text(sodium_base64_encoded_len(chunk.size(), sodium_base64_VARIANT_ORIGINAL), 0);
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char*>(chunk.data()), chunk.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    this->streams["snapshots"].push_back({{"format", 1},
                                          {"offset", state.HeadOffset()},
                                          {"hash", std::to_string(state.Hash())},
                                          {"index", index},
                                          {"count", count},
                                          {"data", text}});
  }
}

}  // namespace amaranthlatch::cli
