#pragma once

#include <string>
#include <system_error>

namespace Yuccagrade
{
/// Errors of all packages; 0 is success as std::error_code requires.
enum class Errc {
    Ok = 0,
    Timeout, ///< no answer within the time limit
    ConnectFailed, ///< no connection; no byte was sent
    TransportFailed, ///< the connection broke after bytes may have been sent
    TooLarge, ///< a message exceeds its size limit
    Malformed, ///< a message, record or header cannot be decoded
    Unauthenticated, ///< the MAC or secret does not match
    Replayed, ///< the counter of an authenticated message was seen before
    NotLeader, ///< the control host is not the leader
    Conflict, ///< the request contradicts accepted state
    StorageFailed, ///< a write or sync on the data folder failed
    StorageDamaged, ///< a stored record fails its checksum
    InsecureFile, ///< a secret file is readable by group or others
    NotFound, ///< the named object does not exist
    Unavailable, ///< the operation is not possible at present
    Cancelled, ///< the caller cancelled the operation
    RemoteError, ///< the peer answered with an error
};

/// The error category of yuccagrade.
const std::error_category &errorCategory() noexcept;

std::error_code make_error_code(Errc error) noexcept; // NOLINT(readability-identifier-naming): found by std::error_code
}

template<>
struct std::is_error_code_enum<Yuccagrade::Errc> : std::true_type {
};
