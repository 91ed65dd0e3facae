#include "release/chunks.h"

#include <cinttypes>
#include <cstdio>
#include <limits>

#include "base/result_code.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pomelopond::release {

std::string ChunkDigest(const std::string& bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  char buf[33];
  std::snprintf(buf, sizeof(buf), "%016" PRIx64 "%016" PRIx64, static_cast<uint64_t>(hash.high64),
                static_cast<uint64_t>(hash.low64));
  return buf;
}

std::string ChunkKey(const std::string& digest) { return "release/chunk/" + digest; }

std::string ReleaseLogKey(int64_t version) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%019" PRId64, version);
  return std::string("release/log/") + buf;
}

ChunkedRelease SplitIntoChunks(const Release& release, const std::string& write_id) {
  ChunkedRelease result;
  result.manifest.version = release.version;
  result.manifest.write_id = write_id;
  std::map<std::string, Section> sections = release.sections;
  sections["resolved"] = release.resolved;
  for (const auto& [name, section] : sections) {
    std::vector<std::string>& digests = result.manifest.chunks[name];
    const std::string bytes = Json(section).dump();
    for (size_t from = 0; from < bytes.size(); from += kMaxChunkBytes) {
      const std::string chunk = bytes.substr(from, kMaxChunkBytes);
      digests.push_back(ChunkDigest(chunk));
      result.chunks[digests.back()] = chunk;
    }
  }
  return result;
}

Result<Release> JoinChunks(const Manifest& manifest,
                           const std::map<std::string, std::string>& chunks) {
  const Result<Release> bad{ResultCode::kStoreBadAnswer, {}};
  Json document = {{"version", manifest.version}};
  for (const auto& [section, digests] : manifest.chunks) {
    std::string bytes;
    for (const std::string& it : digests) {
      const auto chunk = chunks.find(it);
      if (chunk == chunks.end() || ChunkDigest(chunk->second) != it) return bad;
      bytes += chunk->second;
    }
    Result<Json> parsed = ParseJson(bytes);
    if (!parsed.ok()) return bad;
    document[section] = std::move(parsed.value);
  }
  FieldErrors errors;
  Release release = ReadRelease(document, &errors);
  if (!errors.empty()) return bad;
  return {{}, std::move(release)};
}

std::string Encode(const Manifest& manifest) {
  return Json{
      {"version", manifest.version}, {"write_id", manifest.write_id}, {"chunks", manifest.chunks}}
      .dump();
}

Result<Manifest> DecodeManifest(const std::string& bytes) {
  const Result<Manifest> bad{ResultCode::kStoreBadAnswer, {}};
  const Result<Json> document = ParseJson(bytes);
  if (!document.ok()) return bad;
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  Manifest manifest;
  manifest.version = reader.Int("version", 1, std::numeric_limits<int64_t>::max());
  manifest.write_id = reader.String("write_id");
  for (const auto& it : reader.Object("chunks").items()) {
    if (!it.value().is_array()) return bad;
    for (const Json& digest : it.value()) {
      if (!digest.is_string()) return bad;
      manifest.chunks[it.key()].push_back(digest.get<std::string>());
    }
  }
  reader.Finish();
  if (!errors.empty()) return bad;
  return {{}, std::move(manifest)};
}

}  // namespace pomelopond::release
