// Figures of one measurement.

#include "tools/measure/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace amaranthlatch::tools {

namespace {
constexpr std::size_t kLineLength = 160;
}  // namespace

void Report::Add(std::string name, double value, std::string unit) {
  this->figures.push_back(Figure{std::move(name), value, std::move(unit)});
}

void Report::AddViolation(std::string text) { this->violations.push_back(std::move(text)); }

std::string Report::ToTable() const {
  std::string table;
  for (const Figure& figure : this->figures) {
    char line[kLineLength];
    std::snprintf(line, sizeof(line), "%-48s %14.3f %s\n", figure.name.c_str(), figure.value,
                  figure.unit.c_str());
    table += line;
  }
  for (const std::string& violation : this->violations) {
    table += "VIOLATION: " + violation + "\n";
  }
  return table;
}

nlohmann::json Report::ToJson() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const Figure& figure : this->figures) {
    rows.push_back({{"name", figure.name}, {"value", figure.value}, {"unit", figure.unit}});
  }
  return {{"figures", std::move(rows)}, {"violations", this->violations}};
}

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::min(sorted.size(), std::max<std::size_t>(rank, 1)) - 1];
}

}  // namespace amaranthlatch::tools
