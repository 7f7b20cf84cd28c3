// RapidCheck generators of record sequences. They use few services, hosts, versions and publish
// ids, so that conflicts, duplicates, references and every kind of refusal are frequent.

#pragma once

#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "record_fixture.h"

namespace amaranthlatch::acceptance {

// A number in [0, bound), at nominal size to avoid RapidCheck's bias to low numbers in the first
// runs.
template <typename Number>
Number ArbitraryBelow(Number bound) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(0, bound));
}

inline std::string ArbitraryService() {
  return *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c", "d"});
}

inline std::string ArbitraryVersion() {
  return *rc::gen::elementOf(std::vector<std::string>{"v1", "v2"});
}

inline nlohmann::json ArbitraryDocument(const std::string& service) {
  nlohmann::json document = MakeDocument(service);
  document["hosts"] = {(ArbitraryBelow(4) == 0 ? ArbitraryService() : service) + ".example"};
  document["versions"] = nlohmann::json::object();
  for (int i = 0; i < 3; ++i) {
    document["versions"][ArbitraryVersion()] = {{"labels", nlohmann::json::object()}};
  }
  nlohmann::json& target = document["routes"][0]["split"][0];
  target["service"] = ArbitraryBelow(2) == 0 ? ArbitraryService() : service;
  target["version"] = ArbitraryVersion();
  target["weight"] = ArbitraryBelow(20);
  return document;
}

// A record to apply to `before`. In most records the base version is the one in force.
inline nlohmann::json ArbitraryRecord(const State& before) {
  if (ArbitraryBelow(20) == 0) {
    return *rc::gen::elementOf(std::vector<nlohmann::json>{
        nullptr, 7, {{"format", 1}}, {{"format", 0}}, {{"format", 1}, {"publish_id", 5}}});
  }
  const std::string service = ArbitraryService();
  const AcceptedDocument* current = before.FindAccepted(service);
  document::Version base = current == nullptr ? 0 : current->version;
  if (ArbitraryBelow(5) == 0) {
    base = ArbitraryBelow(before.HeadOffset() + 2);
  }
  const std::string publish_id = "p" + std::to_string(ArbitraryBelow(300));
  return ArbitraryBelow(5) == 0 ? MakeRemoveRecord(publish_id, service, base)
                                : MakePutRecord(publish_id, ArbitraryDocument(service), base);
}

struct AppliedRecords {
  std::vector<nlohmann::json> records;
  std::vector<Verdict> verdicts;
  State state;
};

// Records at offsets from 1, and the verdicts and state that result from applying them in sequence.
inline AppliedRecords ArbitraryAppliedRecords(int max_records) {
  AppliedRecords applied;
  const int count = 1 + ArbitraryBelow(max_records);
  for (int i = 0; i < count; ++i) {
    applied.records.push_back(ArbitraryRecord(applied.state));
    applied.verdicts.push_back(
        *applied.state.Apply(applied.records.size(), applied.records.back()));
  }
  return applied;
}

// The content of a state that callers and operators can see, without head offset and hash.
inline nlohmann::json VisibleContent(const State& state) {
  nlohmann::json content = nlohmann::json::object();
  for (const std::string& service : state.Services()) {
    const AcceptedDocument* accepted = state.FindAccepted(service);
    const auto match = state.Match(accepted->document->hosts.at(0), "/readings", "GET");
    content[service] = {accepted->version, *accepted->source,
                        state.FindReferencingServices(service),
                        match ? match->document->service : "-"};
  }
  return content;
}

}  // namespace amaranthlatch::acceptance
