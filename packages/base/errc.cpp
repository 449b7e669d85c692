#include "errc.h"

#include <array>

namespace Yuccagrade
{
namespace
{
constexpr std::array messages{
    "success",
    "no answer within the time limit",
    "connection could not be opened",
    "connection broke during the exchange",
    "message exceeds its size limit",
    "malformed message",
    "authentication failed",
    "message was replayed",
    "this control host is not the leader",
    "request contradicts accepted state",
    "write to the data folder failed",
    "stored data is damaged",
    "secret file must not be accessible by group or others",
    "not found",
    "not available at present",
    "cancelled",
    "peer answered with an error",
};

class Category : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "yuccagrade";
    }
    std::string message(int value) const override
    {
        return value >= 0 && value < static_cast<int>(messages.size()) ? messages[value] : "unknown error";
    }
};
}

const std::error_category &errorCategory() noexcept
{
    static const Category category;
    return category;
}

std::error_code make_error_code(Errc error) noexcept
{
    return {static_cast<int>(error), errorCategory()};
}
}
