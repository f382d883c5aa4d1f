#pragma once

namespace sapphirespan {

/** Library that holds bucket steering, and the name of its entry. */
inline constexpr const char *bucketSteeringLibrary = "libsapphirespan_buckets.so";
inline constexpr const char *bucketSteeringEntry = "sapphirespanRunBucketSteering";

/** Runs an instance with bucket steering. @param path, text of the settings file @returns the exit code of the process */
using RunBucketSteering = int(const char *path, const char *text, bool isCheckOnly);

} // namespace sapphirespan
