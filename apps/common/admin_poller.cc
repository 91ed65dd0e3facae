#include "apps/common/admin_poller.h"

#include "base/log.h"

namespace pomelopond::apps {

AdminPoller::AdminPoller(const Endpoint& admin, std::string program, uint64_t incarnation)
    : client_(admin),
      program_(std::move(program)),
      incarnation_(incarnation),
      release_(release::EmptyRelease()) {}

bool AdminPoller::Poll(Duration timeout) { return PollRelease(timeout) && PollHosts(timeout); }

bool AdminPoller::PollRelease(Duration timeout) {
  const peer::Message request{"release.get", program_, incarnation_, {{"have", release_.version}}};
  const Result<peer::Message> answer = client_.Call(request, timeout);
  if (!answer.ok()) return false;
  const auto document = answer.value.body.find("release");
  if (document == answer.value.body.end()) return true;
  FieldErrors errors;
  release::Release received = release::ReadRelease(*document, &errors);
  if (!errors.empty()) {
    Log(LogLevel::kError, "feed", "bad_release", {{"errors", ToString(errors)}});
    return false;
  }
  if (received.version > release_.version) release_ = std::move(received);
  return true;
}

bool AdminPoller::PollHosts(Duration timeout) {
  const peer::Message request{"hosts.get", program_, incarnation_, {{"have", hosts_.version}}};
  const Result<peer::Message> answer = client_.Call(request, timeout);
  if (!answer.ok()) return false;
  const auto document = answer.value.body.find("hosts");
  if (document == answer.value.body.end()) return true;
  FieldErrors errors;
  const membership::HostList received = membership::ReadHostList(*document, &errors);
  if (!errors.empty()) {
    Log(LogLevel::kError, "feed", "bad_host_list", {{"errors", ToString(errors)}});
    return false;
  }
  hosts_ = membership::Merge(hosts_, received);
  return true;
}

}  // namespace pomelopond::apps
