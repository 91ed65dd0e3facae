#include "entry/candidate.h"

#include "base/integer.h"
#include "base/json.h"
#include "base/resources.h"
#include "base/result_code.h"

namespace pomelopond::entry {
namespace {

constexpr int64_t kMuchFasterFactor = 2;

}  // namespace

std::string Encode(const Candidate& candidate) {
  std::string bytes;
  Json::to_msgpack(Json::array({candidate.process, candidate.processor_milli}), bytes);
  return bytes;
}

Result<Candidate> DecodeCandidate(const std::string& bytes) {
  const Json in = ParseMessagePack(bytes);
  Candidate candidate;
  try {
    in.at(0).get_to(candidate.process);
    candidate.processor_milli =
        RequireWholeNumber(in.at(1), "processor_milli", 0, kMaxResourceAmount);
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(candidate)};
}

bool IsMuchFaster(int64_t processor_milli, const Candidate& owner) {
  return owner.processor_milli > 0 && processor_milli / kMuchFasterFactor >= owner.processor_milli;
}

}  // namespace pomelopond::entry
