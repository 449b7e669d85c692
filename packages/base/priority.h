#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace Yuccagrade
{
/// Priority classes, most important first.
enum class Priority {
    Critical, ///< status reads, bookings, activations
    Normal, ///< listings, uploads
    Bulk,
};
inline constexpr std::size_t priorityCount = 3;
inline constexpr std::array<std::string_view, priorityCount> priorityNames{"critical", "normal", "bulk"};

/// Name of a priority class as used in the manifest.
constexpr std::string_view priorityName(Priority priority)
{
    return priorityNames[static_cast<std::size_t>(priority)];
}
}
