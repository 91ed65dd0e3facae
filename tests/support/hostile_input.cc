#include "tests/support/hostile_input.h"

#include <random>

#include "base/json.h"

namespace pomelopond::support {
namespace {

constexpr size_t kHugeBytes = 2 << 20;
constexpr size_t kDeepLevels = 5000;

Json ValidNote() {
  return {{"base", 0},
          {"author", "operator"},
          {"add", {{"services", {{"svc", {{"team", "team"}, {"objective_ms", 10}}}}}}}};
}

// Returns a value whose type or range no member of a release note accepts.
Json WrongValue(std::mt19937* random) {
  switch ((*random)() % 6) {
    case 0:
      return -1;
    case 1:
      return Json::array({Json::array()});
    case 2:
      return nullptr;
    case 3:
      return true;
    case 4:
      return 1e300;
    default:
      return "";
  }
}

std::string WrongTypes(std::mt19937* random) {
  Json note = ValidNote();
  switch ((*random)() % 5) {
    case 0:
      note["base"] = Json::array({WrongValue(random)});
      break;
    case 1:
      note["author"] = Json::object({{"x", WrongValue(random)}});
      break;
    case 2:
      note["add"] = Json::array({WrongValue(random)});
      break;
    case 3:
      note["add"]["services"]["svc"]["team"] = Json::array({WrongValue(random)});
      break;
    default:
      note["add"]["services"]["svc"]["unknown"] = WrongValue(random);
      break;
  }
  return note.dump();
}

std::string InvalidUtf8(std::mt19937* random) {
  std::string text = ValidNote().dump();
  text[(*random)() % text.size()] = '\xff';  // not a valid byte of UTF-8
  return text;
}

std::string Truncated(std::mt19937* random) {
  const std::string text = ValidNote().dump();
  return text.substr(0, (*random)() % text.size());
}

}  // namespace

std::vector<http::HttpRequest> HostileRequests(int count, uint32_t seed, const std::string& key) {
  std::mt19937 random(seed);
  std::vector<http::HttpRequest> requests;
  for (int n = 0; n < count; ++n) {
    http::HttpRequest request;
    request.method = "POST";
    request.path = "/v1/release";
    request.headers["Authorization"] = "Bearer " + key;
    request.body = ValidNote().dump();
    switch (n % 10) {
      case 0:
        request.body = WrongTypes(&random);
        break;
      case 1:
        request.body = InvalidUtf8(&random);
        break;
      case 2:
        request.body = Truncated(&random);
        break;
      case 3:
        request.body = std::string(kHugeBytes, '[');
        break;
      case 4:
        request.body = std::string(kDeepLevels, '[') + std::string(kDeepLevels, ']');
        break;
      case 5:
        request.headers["Authorization"] = "Bearer " + key.substr(0, random() % key.size());
        break;
      case 6:
        request.headers.erase("Authorization");
        break;
      case 7:
        request.path = "/v1/no-such-path-" + std::to_string(random() % 1000);
        break;
      case 8:
        request.path = "/v1/jobs";
        request.body = R"({"id":"../)" + std::to_string(random() % 1000) + R"(","team":7})";
        break;
      default:
        request.method = random() % 2 == 0 ? "PUT" : "DELETE";
        break;
    }
    requests.push_back(std::move(request));
  }
  return requests;
}

}  // namespace pomelopond::support
