// Tests of the complete distribution reducer.

#include <CppUTest/TestHarness.h>

#include "cluster.h"

namespace amaranthlatch::distribution::testing {

TEST_GROUP(Distribution){};

// Guards against a new cluster that does not put the published records in force.
TEST(Distribution, NewClusterPutsTheLogInForce) {
  Cluster cluster(1, 2, 2, 4);
  for (int i = 0; i < 20; ++i) {
    cluster.Publish("service-" + std::to_string(i), 0);
  }
  const bool started = cluster.Converge(utils::Seconds(9));
  CHECK_TEXT(started, cluster.Describe().c_str());
  cluster.Publish("service-0", 1);
  const bool changed = cluster.Converge(utils::Seconds(1));
  CHECK_TEXT(changed, cluster.Describe().c_str());
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

}  // namespace amaranthlatch::distribution::testing
