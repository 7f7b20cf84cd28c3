// Measures the bytes and the time of the distribution reducer on one core; prints JSON.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/distribution/distribution.h"
#include "amaranthlatch/distribution/message_codec.h"
#include "amaranthlatch/utils/random.h"
#include "static_members.h"

namespace amaranthlatch::benchmark {

namespace {

using distribution::Distribution;
using distribution::Effect;
using distribution::EntriesPush;
using nlohmann::json;

constexpr std::size_t kChunkBytes = std::size_t{48} << 10U;
// A zone of the target size.
constexpr std::size_t kZoneSize = 864;
constexpr std::size_t kServices = 1'200;
constexpr int kVariedRoutes = 5;

json ExampleDocument(const std::string& service) {
  json document = json::parse(R"({"format": 1, "owner": "records-team",
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
  return document;
}

// A document of about 2 KB whose names and numbers compress less than those of copies.
json VariedDocument(std::size_t number) {
  utils::Random random(number);
  json document = ExampleDocument("service-" + std::to_string(number));
  const json example = document["routes"][0];
  document["owner"] = "team-" + std::to_string(random.Uniform(300));
  document["protection"]["slots"] = 1 + random.Uniform(100);
  document["protection"]["queue_length"] = 1 + random.Uniform(1'000);
  document["routes"] = json::array();
  for (int i = 0; i < kVariedRoutes; ++i) {
    json route = example;
    const std::string name = "r" + std::to_string(random.Uniform(1'000'000'000));
    route["name"] = name;
    route["path_prefix"] = "/" + name + "/" + std::to_string(random.Uniform(1'000'000));
    route["deadline_ms"] = 100 + random.Uniform(5'000);
    route["split"][0]["weight"] = 1 + random.Uniform(99);
    document["routes"].push_back(route);
  }
  return document;
}

json MakeRecord(distribution::Offset offset, distribution::Offset base, const json& document) {
  return {{"format", 1},
          {"publish_id", "5f0c3a52-0000-4000-8000-" + std::to_string(100'000'000'000 + offset)},
          {"service", document["service"]},
          {"base_version", base == 0 ? json() : json(base)},
          {"author", "operator@records-team.example"},
          {"published_at", "2026-01-01T00:00:00Z"},
          {"action", "put"},
          {"document", document}};
}

double Microseconds(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  const auto end = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::micro>(end - start).count();
}

std::size_t Bytes(const distribution::Message& message) {
  return json::to_cbor(distribution::ToJson(message)).size();
}

// A node that is given a log by the benchmark.
class Node {
 public:
  explicit Node(std::size_t zone_size)
      : members(zone_size), reducer(std::move(*Distribution::Create({}))) {
    // After these steps the node is the reader, whatever its rank.
    for (int i = 0; i < kStartSteps; ++i) {
      this->Feed({});
    }
  }

  std::vector<Effect> Reduce(const distribution::Event& event) {
    std::vector<Effect> effects = this->reducer.Reduce(event, this->now, this->members);
    for (const Effect& effect : effects) {
      const auto* read = std::get_if<distribution::ReadLog>(&effect);
      if (read != nullptr && read->stream == distribution::Stream::kConfig) {
        this->open_read = *read;
      }
    }
    return effects;
  }

  // Answers the open read with records; returns the time that the reducer took.
  double Feed(const std::vector<json>& records) {
    distribution::LogRead read;
    read.request = this->open_read.request;
    read.first_kept = 1;
    for (const json& record : records) {
      read.records.push_back({++this->head, record});
    }
    read.head = this->head;
    read.next = this->head + 1;
    this->now += utils::Milliseconds(100);
    const double time = Microseconds([&] { this->last_effects = this->Reduce(read); });
    this->now += utils::Milliseconds(100);
    this->Reduce(distribution::WakeUp{});
    return time;
  }

  // The largest push among the effects of the last Feed().
  EntriesPush LastPush() const {
    EntriesPush push;
    for (const Effect& effect : this->last_effects) {
      const auto* send = std::get_if<distribution::SendMessage>(&effect);
      const auto* sent = send == nullptr ? nullptr : std::get_if<EntriesPush>(&send->message);
      if (sent != nullptr && sent->entries.size() >= push.entries.size()) {
        push = *sent;
      }
    }
    return push;
  }

  void Acknowledge() {
    for (std::size_t i = 0; i < this->members.Size(); ++i) {
      const membership::NodeId& id = this->members.IdAt(i);
      if (id != this->members.Self().id) {
        this->Reduce(distribution::PeerMessage{id, distribution::EntriesAck{this->reducer.Held()}});
      }
    }
  }

  StaticMembers members;
  Distribution reducer;
  utils::Timestamp now{};

 private:
  static constexpr int kStartSteps = 80;

  distribution::ReadLog open_read;
  distribution::Offset head = 0;
  std::vector<Effect> last_effects;
};

json MeasureChanges() {
  Node node(2);
  json document = ExampleDocument("field-log");
  json result = {{"document_json_bytes", document.dump().size()}};
  distribution::Offset version = 0;
  const auto publish = [&](const char* name) {
    node.Feed({MakeRecord(version + 1, version, document)});
    const EntriesPush push = node.LastPush();
    node.Acknowledge();
    EntriesPush whole = push;
    whole.entries[0].record = MakeRecord(version + 1, version, document);
    whole.entries[0].patch_base = 0;
    result[name] = {{"sent_bytes", Bytes(push)},
                    {"whole_bytes", Bytes(whole)},
                    {"is_difference", push.entries[0].patch_base != 0}};
    ++version;
  };
  publish("first_version");
  document["routes"][0]["deadline_ms"] = 1'500;
  publish("one_number");
  document["routes"][0]["split"][0]["weight"] = 90;
  document["routes"][0]["split"][1]["weight"] = 10;
  publish("two_weights");
  json route = document["routes"][0];
  route["name"] = "check-level";
  route["path_prefix"] = "/levels";
  document["routes"].push_back(route);
  publish("one_more_route");
  return result;
}

json MeasureSnapshots() {
  json result = json::array();
  for (const std::size_t count :
       {std::size_t{100}, std::size_t{300}, std::size_t{600}, kServices}) {
    acceptance::State state;
    for (std::size_t i = 1; i <= count; ++i) {
      state.Apply(i, MakeRecord(i, 0, VariedDocument(i))).value();
    }
    std::string bytes;
    const double encode = Microseconds([&] { bytes = state.EncodeSnapshot(); });
    const double decode = Microseconds([&] { acceptance::State::DecodeSnapshot(bytes).value(); });
    const std::size_t document_bytes = VariedDocument(count).dump().size();
    result.push_back({{"documents", count},
                      {"document_json_bytes", document_bytes},
                      {"bytes", bytes.size()},
                      {"chunks", (bytes.size() + kChunkBytes - 1) / kChunkBytes},
                      {"encode_ms", encode / 1'000},
                      {"decode_ms", decode / 1'000}});
  }
  return result;
}

std::vector<json> DrawChanges(std::size_t count, distribution::Offset first) {
  std::vector<json> records;
  for (std::size_t i = 0; i < count; ++i) {
    json document = VariedDocument(i + 1);
    document["routes"][0]["deadline_ms"] = 1'000 + i;
    records.push_back(MakeRecord(first + i, i + 1, document));
  }
  return records;
}

// Costs with 1,200 documents in force, in a zone of the target size.
json MeasureReduce() {
  constexpr std::size_t kBatch = 200;
  Node reader(kZoneSize);
  Node receiver(kZoneSize);
  const std::size_t other = receiver.members.Self().id == receiver.members.IdAt(0) ? 1 : 0;
  const membership::NodeId peer = receiver.members.IdAt(other);
  double whole_time = 0;
  for (std::size_t at = 0; at < kServices; at += kBatch) {
    std::vector<json> records;
    for (std::size_t i = at + 1; i <= at + kBatch; ++i) {
      records.push_back(MakeRecord(i, 0, VariedDocument(i)));
    }
    whole_time += reader.Feed(records);
    receiver.Feed(records);
    reader.Acknowledge();
    receiver.Acknowledge();
  }
  const double batch_time = reader.Feed(DrawChanges(kBatch, kServices + 1));
  const EntriesPush push = reader.LastPush();
  const double receive_time = Microseconds([&] {
    receiver.Reduce(distribution::PeerMessage{peer, push});
  });
  reader.Acknowledge();
  double single_time = 0;
  const std::vector<json> changes = DrawChanges(2 * kBatch, kServices + kBatch + 1);
  for (std::size_t i = kBatch; i < 2 * kBatch; ++i) {
    single_time += reader.Feed({changes[i]});
    reader.Acknowledge();
  }
  const distribution::Digest digest{receiver.reducer.Held(), 0};
  const distribution::PeerMessage digest_event{peer, digest};
  const double digest_time = Microseconds([&] { receiver.Reduce(digest_event); });
  return {
      {"documents", kServices},
      {"zone_size", kZoneSize},
      {"reader_whole_us_per_entry", whole_time / kServices},
      {"reader_difference_us_per_entry_in_batch", batch_time / kBatch},
      {"reader_difference_us_per_single_entry", single_time / kBatch},
      {"receiver_difference_us_per_entry", receive_time / static_cast<double>(push.entries.size())},
      {"receiver_entries", push.entries.size()},
      {"digest_us", digest_time},
      {"held", reader.reducer.Held()}};
}

json MeasureIdle() {
  const distribution::Digest digest{1'000'000, ~std::uint64_t{0}};
  const distribution::ReaderHeartbeat heartbeat{1'000'000, true};
  return {{"digest_bytes", Bytes(digest)}, {"heartbeat_bytes", Bytes(heartbeat)}};
}

}  // namespace

}  // namespace amaranthlatch::benchmark

int main() {
  using amaranthlatch::benchmark::MeasureChanges;
  using amaranthlatch::benchmark::MeasureIdle;
  using amaranthlatch::benchmark::MeasureReduce;
  using amaranthlatch::benchmark::MeasureSnapshots;
  const nlohmann::json result = {{"change", MeasureChanges()},
                                 {"idle", MeasureIdle()},
                                 {"snapshots", MeasureSnapshots()},
                                 {"reduce", MeasureReduce()}};
  std::puts(result.dump(2).c_str());
  return 0;
}
