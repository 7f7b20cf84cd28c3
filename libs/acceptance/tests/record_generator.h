// Random record sequences over a few services, hosts, versions and publish ids, so that races,
// repeats, references and refusals of every kind are frequent.

#pragma once

#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "record_fixture.h"

namespace amaranthlatch::acceptance {

// In [0, bound), without rapidcheck's bias to low numbers in the first runs.
template <typename Number>
Number AnyBelow(Number bound) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(0, bound));
}

inline std::string AnyService() {
  return *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c", "d"});
}

inline std::string AnyVersion() {
  return *rc::gen::elementOf(std::vector<std::string>{"v1", "v2"});
}

inline nlohmann::json AnyDocument(const std::string& service) {
  nlohmann::json document = MakeDocument(service);
  document["hosts"] = {(AnyBelow(4) == 0 ? AnyService() : service) + ".example"};
  document["versions"] = nlohmann::json::object();
  for (int i = 0; i < 3; ++i) {
    document["versions"][AnyVersion()] = {{"labels", nlohmann::json::object()}};
  }
  nlohmann::json& target = document["routes"][0]["split"][0];
  target["service"] = AnyBelow(2) == 0 ? AnyService() : service;
  target["version"] = AnyVersion();
  target["weight"] = AnyBelow(20);
  return document;
}

// The base version is mostly the one in force after `before`.
inline nlohmann::json AnyRecord(const State& before) {
  if (AnyBelow(20) == 0) {
    return *rc::gen::elementOf(std::vector<nlohmann::json>{
        nullptr, 7, {{"format", 1}}, {{"format", 0}}, {{"format", 1}, {"publish_id", 5}}});
  }
  const std::string service = AnyService();
  const AcceptedDocument* current = before.FindAccepted(service);
  document::Version base = current == nullptr ? 0 : current->version;
  if (AnyBelow(5) == 0) {
    base = AnyBelow(before.HeadOffset() + 2);
  }
  const std::string publish_id = "p" + std::to_string(AnyBelow(300));
  return AnyBelow(5) == 0 ? RemoveRecord(publish_id, service, base)
                          : PutRecord(publish_id, AnyDocument(service), base);
}

struct Fold {
  std::vector<nlohmann::json> records;
  std::vector<Verdict> verdicts;
  State state;
};

// Records at offsets 1, 2, ... and what folding them in one go gives.
inline Fold AnyFold(int max_records) {
  Fold fold;
  const int count = 1 + AnyBelow(max_records);
  for (int i = 0; i < count; ++i) {
    fold.records.push_back(AnyRecord(fold.state));
    fold.verdicts.push_back(*fold.state.Apply(fold.records.size(), fold.records.back()));
  }
  return fold;
}

// What callers and operators can see of a state, without head and hash.
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
