// Comparison of items by their fields.

#include "amaranthlatch/check/difference.h"

#include <map>
#include <string_view>
#include <utility>

namespace amaranthlatch::check {

namespace {

struct KindEffects {
  std::string_view added;
  std::string_view removed;
};

const KindEffects& EffectsOf(std::string_view item) {
  static const std::map<std::string_view, KindEffects> effects = {
      {"route",
       {"its requests are served by this route",
        "its requests are served by a route "
        "with a shorter prefix, or answered 404"}},
      {"service", {"routes may name it", "no route may name it"}},
      {"version", {"routes may name it", "no route may name it"}},
      {"workspace",
       {"calls with its keys are known",
        "calls with its keys are refused, except on "
        "public routes"}}};
  return effects.at(item.substr(0, item.find(' ')));
}

std::string_view EffectOf(const std::string& field) {
  static const std::map<std::string, std::string_view> effects = {
      {"path prefix", "requests with the earlier prefix go to another route or are answered 404"},
      {"methods",
       "requests with a method that is left out go to another route or are answered 404"},
      {"split", "calls are divided by the new weights"},
      {"idempotent", "if yes, a call that may have run can be repeated by the mesh; if no, never"},
      {"permit required", "if yes, calls without a permit are refused"},
      {"public", "if no, calls need the key of a workspace"},
      {"priority", "under load the calls are served in the order of the new class"},
      {"timeout", "calls that take longer than the new timeout are ended"},
      {"target latency", "calls that would take longer than the new target are refused under load"},
      {"attempts", "refused calls are tried at up to so many backend servers"},
      {"request bytes", "larger requests are refused"},
      {"response bytes", "larger responses are cut off as failed"},
      {"owner", "none"},
      {"hosts", "requests for a host that is left out are answered 404"},
      {"slots", "each backend server runs up to so many calls at once; others wait or are refused"},
      {"connections", "up to so many connections are opened to each backend server"},
      {"queue length", "more waiting calls than this are refused"},
      {"queue time", "calls that would wait longer are refused"},
      {"retry budget", "more retries than this share of the calls are not made"},
      {"slow start", "a new backend server takes its full share of the calls after this time"},
      {"locality", "calls leave the zone at another load"},
      {"labels", "calls of the version go to other backend servers"},
      {"health path", "none; backend servers are checked at the new path"},
      {"keys", "calls with a key that is left out are refused, except on public routes"},
      {"quota", "calls above the new rate are refused"},
      {"burst", "as many calls may exceed the rate at once"}};
  return effects.at(field);
}

void CompareFields(const std::string& name, const Item& before, const Item& after,
                   std::vector<Difference>& differences) {
  for (const auto& [field, value] : after.fields) {
    const std::string& earlier = before.fields.at(field);
    if (value != earlier) {
      differences.push_back({Change::kChanged, name, after.pointer, field, earlier, value,
                             std::string(EffectOf(field))});
    }
  }
}

}  // namespace

std::string_view ToString(Change change) {
  switch (change) {
    case Change::kAdded:
      return "added";
    case Change::kRemoved:
      return "removed";
    case Change::kChanged:
      break;
  }
  return "changed";
}

std::vector<Difference> Compare(const Configuration& before, const Configuration& after) {
  std::vector<Difference> differences;
  for (const auto& [name, item] : before.items) {
    if (!after.items.contains(name)) {
      differences.push_back(
          {Change::kRemoved, name, item.pointer, "", "", "", std::string(EffectsOf(name).removed)});
    }
  }
  for (const auto& [name, item] : after.items) {
    const auto earlier = before.items.find(name);
    if (earlier == before.items.end()) {
      differences.push_back(
          {Change::kAdded, name, item.pointer, "", "", "", std::string(EffectsOf(name).added)});
    } else {
      CompareFields(name, earlier->second, item, differences);
    }
  }
  return differences;
}

}  // namespace amaranthlatch::check
