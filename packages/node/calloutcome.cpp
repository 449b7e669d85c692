#include "calloutcome.h"

#include <cstdio>

namespace Yuccagrade
{
std::string encodeLoad(const LoadReport &load)
{
    return std::to_string(load.timestampMs) + ';' + std::to_string(load.queued) + ';' + std::to_string(load.inFlight) + ';' + std::to_string(load.limit);
}

std::optional<LoadReport> decodeLoad(const std::string &text)
{
    LoadReport load;
    long long timestampMs = 0;
    const int fields = std::sscanf(text.c_str(), "%lld;%d;%d;%d", &timestampMs, &load.queued, &load.inFlight, &load.limit); // NOLINT(cert-err34-c)
    if (fields != 4 || load.queued < 0 || load.inFlight < 0 || load.limit < 1) {
        return std::nullopt;
    }
    load.timestampMs = timestampMs;
    return load;
}
}
