// The part of Scheduler that serves requests for jobs.
#include "apps/scheduler/paths.h"
#include "apps/scheduler/scheduler.h"
#include "base/result_code.h"

namespace pomelopond::apps {
namespace {

constexpr size_t kMaxSpecBytes = 1024;  // of an encoded job; bounds journal records
constexpr Duration kForwardTimeout = std::chrono::seconds(10);

// Returns the id in "/v1/jobs/<id>" or "/v1/jobs/<id>/cancel".
std::string JobIdOf(const std::string& path) {
  const std::string rest = path.substr(std::string(kJobsPath).size() + 1);
  return rest.substr(0, rest.find('/'));
}

ResultCode CodeOf(std::error_code ec) {
  if (ec.category() != ResultCategory()) return ResultCode::kInternal;
  return static_cast<ResultCode>(ec.value());
}

void ReplyWithOutcome(const http::Reply& reply, std::error_code ec, const std::string& job,
                      const std::string& shard) {
  if (ec) {
    return reply(http::ErrorResponse(CodeOf(ec), "job " + job + ": " + ec.message()));
  }
  http::HttpResponse response =
      http::JsonResponse(200, {{"job", job}, {"shard", shard}, {"accepted", true}});
  response.headers[http::kOutcomeHeader] = OutcomeName(Outcome::kDone);
  reply(std::move(response));
}

}  // namespace

void Scheduler::HandleJobs(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == kJobsPath) {
    if (request.method == "POST") return SubmitJob(request, reply);
    return reply(http::ErrorResponse(ResultCode::kMethodNotAllowed, "use POST"));
  }
  const std::string job = JobIdOf(path);
  const bool cancel = path == std::string(kJobsPath) + "/" + job + "/cancel";
  if (cancel && request.method == "POST") return CancelJob(request, job, reply);
  if (path == std::string(kJobsPath) + "/" + job && request.method == "GET") {
    return DescribeJob(request, job, reply);
  }
  reply(http::ErrorResponse(ResultCode::kMethodNotAllowed,
                            "use GET /v1/jobs/<id> or POST /v1/jobs/<id>/cancel"));
}

void Scheduler::SubmitJob(const http::HttpRequest& request, const http::Reply& reply) {
  const Result<Json> document = ParseJson(request.body);
  if (!document.ok()) return reply(http::ErrorResponse(ResultCode::kBadJson, "body is not JSON"));
  FieldErrors errors;
  planning::JobSpec spec = planning::ReadJobSpec(document.value, "", &errors);
  if (spec.release_version != 0) {
    errors.push_back({"release_version", ResultCode::kUnknownField, "is not a known member"});
  }
  if (!errors.empty()) {
    return reply(http::ErrorResponse(errors.front().code, ToString(errors)));
  }
  if (planning::ToJson(spec).dump().size() > kMaxSpecBytes) {
    return reply(http::ErrorResponse(ResultCode::kTooLarge, "job is described by more than 1 KiB"));
  }
  const std::string job = spec.id;
  home_shards_.Claim(job, ProposedHome(job),
                     [this, spec, request, reply](const Result<std::string>& home) {
                       if (!home.ok())
                         return reply(http::ErrorResponse(CodeOf(home.ec), "job was not accepted"));
                       AcceptAt(home.value, spec, request, reply);
                     });
}

void Scheduler::AcceptAt(const std::string& shard, planning::JobSpec spec,
                         const http::HttpRequest& request, const http::Reply& reply) {
  const std::shared_ptr<ShardRunner> runner = RunnerOf(shard);
  if (!runner) return Forward(request, shard, reply);
  const std::string job = spec.id;
  runner->Accept(std::move(spec), [reply, job, shard](std::error_code ec) {
    ReplyWithOutcome(reply, ec, job, shard);
  });
}

void Scheduler::CancelJob(const http::HttpRequest& request, const std::string& job,
                          const http::Reply& reply) {
  home_shards_.Find(job, [this, request, job, reply](const Result<std::string>& home) {
    CancelAt(home, request, job, reply);
  });
}

void Scheduler::CancelAt(const Result<std::string>& home, const http::HttpRequest& request,
                         const std::string& job, const http::Reply& reply) {
  if (!home.ok()) return ReplyWithOutcome(reply, home.ec, job, {});
  const std::shared_ptr<ShardRunner> runner = RunnerOf(home.value);
  if (!runner) return Forward(request, home.value, reply);
  runner->Cancel(job, [reply, job, shard = home.value](std::error_code ec) {
    ReplyWithOutcome(reply, ec, job, shard);
  });
}

void Scheduler::DescribeJob(const http::HttpRequest& request, const std::string& job,
                            const http::Reply& reply) {
  home_shards_.Find(job, [this, request, job, reply](const Result<std::string>& home) {
    DescribeAt(home, request, job, reply);
  });
}

void Scheduler::DescribeAt(const Result<std::string>& home, const http::HttpRequest& request,
                           const std::string& job, const http::Reply& reply) {
  if (!home.ok()) {
    return reply(http::ErrorResponse(CodeOf(home.ec), "job " + job + ": " + home.ec.message()));
  }
  const std::shared_ptr<ShardRunner> runner = RunnerOf(home.value);
  if (!runner) return Forward(request, home.value, reply);
  const Json found = runner->Describe(job);
  if (found.is_null()) {
    return reply(http::ErrorResponse(ResultCode::kNotFound, "no such job: " + job));
  }
  reply(http::JsonResponse(200, found));
}

void Scheduler::Forward(const http::HttpRequest& request, const std::string& shard,
                        const http::Reply& reply) {
  std::string owner;
  std::shared_ptr<http::HttpClient> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = assignment_.find(shard);
    if (it != assignment_.end()) owner = it->second;
    const auto peer = peers_.find(owner);
    if (peer != peers_.end()) client = peer->second;
  }
  const bool forwarded = !http::HeaderOf(request.headers, http::kForwardedHeader).empty();
  if (forwarded || owner == own_.id || !client) {
    return reply(http::ErrorResponse(ResultCode::kNotOwner,
                                     "shard " + shard + " has no owner yet; try again"));
  }
  http::HttpRequest copy = request;
  copy.headers[http::kForwardedHeader] = "1";
  copy.headers.erase("Connection");
  client->Send(std::move(copy), kForwardTimeout, [reply, owner](http::HttpResult result) {
    if (!result.ec) return reply(std::move(result.response));
    const bool sent = result.ec != ResultCode::kTargetUnreachable;
    reply(http::ErrorResponse(sent ? ResultCode::kOutcomeUnknown : ResultCode::kNotOwner,
                              "scheduler on " + owner + " did not answer"));
  });
}

}  // namespace pomelopond::apps
