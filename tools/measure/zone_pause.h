// A whole zone that stops and comes back.

#pragma once

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

// Stops all processes of one zone, as a cut of its links looks to the others, publishes and sends
// calls meanwhile, and continues them. No member may be removed while the others hold; the zone
// must catch up within 9 s, and no request may run twice.
class ZonePauseScenario : public Scenario {
 public:
  std::string Name() const override { return "zone-pause"; }
  std::string Summary() const override { return "a whole zone stops and comes back"; }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

}  // namespace amaranthlatch::tools
