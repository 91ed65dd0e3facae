// A release as content-addressed chunks that fit the store's values.
#ifndef POMELOPOND_RELEASE_CHUNKS_H_
#define POMELOPOND_RELEASE_CHUNKS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/result.h"
#include "release/release.h"

namespace pomelopond::release {

// Below the store's limit of 1 MB a value, base64 included.
inline constexpr size_t kMaxChunkBytes = 512 << 10;

// What release/head holds: which chunks make up each section.
struct Manifest {
  int64_t version = 0;
  std::string write_id;                                    // of the write that accepted the release
  std::map<std::string, std::vector<std::string>> chunks;  // digests by section, in order

  friend bool operator==(const Manifest& a, const Manifest& b) {
    return std::tie(a.version, a.write_id, a.chunks) == std::tie(b.version, b.write_id, b.chunks);
  }
};

struct ChunkedRelease {
  Manifest manifest;
  std::map<std::string, std::string> chunks;  // bytes by digest
};

std::string ChunkKey(const std::string& digest);
std::string ReleaseLogKey(int64_t version);
inline constexpr const char* kHeadKey = "release/head";

ChunkedRelease SplitIntoChunks(const Release& release, const std::string& write_id);

// Fails with kStoreBadAnswer when a chunk is missing or does not match its digest.
Result<Release> JoinChunks(const Manifest& manifest,
                           const std::map<std::string, std::string>& chunks);

// The 128-bit digest of a chunk as 32 hexadecimal digits.
std::string ChunkDigest(const std::string& bytes);

std::string Encode(const Manifest& manifest);
Result<Manifest> DecodeManifest(const std::string& bytes);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_CHUNKS_H_
