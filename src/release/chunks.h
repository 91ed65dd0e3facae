// Provides the stored form of a release: content-addressed chunks that fit the store's value limit.
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

// Maximum size of a chunk in bytes. A chunk stays below the store's limit of 1 MB per value even
// after base64 encoding.
inline constexpr size_t kMaxChunkBytes = 512 << 10;

// The value of the key release/head, which lists the chunks of each section.
struct Manifest {
  int64_t version = 0;   // version of the release
  std::string write_id;  // id of the write that accepted the release
  std::map<std::string, std::vector<std::string>> chunks;  // chunk digests by section, in order

  friend bool operator==(const Manifest& a, const Manifest& b) {
    return std::tie(a.version, a.write_id, a.chunks) == std::tie(b.version, b.write_id, b.chunks);
  }
};

// A release that is split into chunks.
struct ChunkedRelease {
  Manifest manifest;
  std::map<std::string, std::string> chunks;  // chunk bytes by digest
};

// Returns the store key of the chunk with `digest`.
std::string ChunkKey(const std::string& digest);

// Returns the store key of the log entry of `version`. Keys sort in the order of versions.
std::string ReleaseLogKey(int64_t version);

// The store key of the manifest of the release in force.
inline constexpr const char* kHeadKey = "release/head";

// Splits the JSON text of every section into chunks of at most kMaxChunkBytes.
ChunkedRelease SplitIntoChunks(const Release& release, const std::string& write_id);

// Restores a release from its chunks. Fails with kStoreBadAnswer when a chunk is missing or does
// not match its digest, or when the joined text is not a valid release.
Result<Release> JoinChunks(const Manifest& manifest,
                           const std::map<std::string, std::string>& chunks);

// Returns the 128-bit digest of a chunk as 32 hexadecimal digits.
std::string ChunkDigest(const std::string& bytes);

// Returns the JSON text of a manifest.
std::string Encode(const Manifest& manifest);

// Reads a manifest. Fails with kStoreBadAnswer when `bytes` is not a valid manifest.
Result<Manifest> DecodeManifest(const std::string& bytes);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_CHUNKS_H_
