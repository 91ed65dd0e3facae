// Changes JSON documents at random, for property tests of decoders.
#ifndef POMELOPOND_TESTS_PLATFORM_MUTATE_H_
#define POMELOPOND_TESTS_PLATFORM_MUTATE_H_

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

#include "base/json.h"

namespace pomelopond::platform {

inline const std::vector<Json>& HostileValues() {
  static const std::vector<Json> values = {
      nullptr,        true,      -1,         1e300, "", "\xff\xfe", Json::array(),
      Json::object(), INT64_MAX, UINT64_MAX, 0.5,   0,  "x",        Json::array({Json::array({1})}),
      {{"a", "b"}},   "1.2",     -1e18};
  return values;
}

inline void CollectNodes(Json* at, std::vector<Json*>* nodes) {
  nodes->push_back(at);
  if (!at->is_structured()) return;
  for (Json& it : *at) CollectNodes(&it, nodes);
}

// Returns `sample` with some of its values replaced by hostile ones or removed from their object.
inline Json Mutate(Json sample) {
  const int changes = *rc::gen::inRange(1, 4);
  for (int n = 0; n < changes; ++n) {
    std::vector<Json*> nodes;
    CollectNodes(&sample, &nodes);
    Json* node = nodes[*rc::gen::inRange<size_t>(0, nodes.size())];
    const bool removes = node->is_object() && !node->empty() && *rc::gen::arbitrary<bool>();
    if (removes) {
      node->erase(node->begin());
    } else {
      *node = HostileValues()[*rc::gen::inRange<size_t>(0, HostileValues().size())];
    }
  }
  return sample;
}

}  // namespace pomelopond::platform

#endif  // POMELOPOND_TESTS_PLATFORM_MUTATE_H_
