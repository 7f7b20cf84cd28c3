// Figures of one measurement, as a table for people and as JSON for machines.

#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace amaranthlatch::tools {

struct Figure {
  std::string name;
  double value = 0;
  std::string unit;

  bool operator==(const Figure&) const = default;
};

class Report {
 public:
  void Add(std::string name, double value, std::string unit);

  // A promise that did not hold; the program then ends with an exit code above 0.
  void AddViolation(std::string text);

  const std::vector<Figure>& Figures() const { return this->figures; }
  const std::vector<std::string>& Violations() const { return this->violations; }

  std::string ToTable() const;
  nlohmann::json ToJson() const;

 private:
  std::vector<Figure> figures;
  std::vector<std::string> violations;
};

// The value at `share` (0 to 1) of the sorted samples; 0 without samples.
double Percentile(const std::vector<double>& sorted, double share);

}  // namespace amaranthlatch::tools
