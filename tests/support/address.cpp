#include "support/address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <system_error>

namespace Yuccagrade::Test
{
std::string nextLoopbackIp()
{
    // 8,000 blocks of 2,000 numbers fit into 127.0.0.0/8 behind 127.0.x.y, which other programs use.
    constexpr std::uint32_t blockSize = 2000;
    static std::atomic<std::uint32_t> used = 0;
    const std::uint32_t next = used++;
    if (next >= blockSize) {
        throw std::out_of_range("more than 2,000 loopback IP numbers in one test run");
    }
    const std::uint32_t host = 65536 + static_cast<std::uint32_t>(getpid()) % 8000 * blockSize + next;
    return "127." + std::to_string(host >> 16) + '.' + std::to_string(host >> 8 & 255) + '.' + std::to_string(host & 255);
}

std::string freeAddress(const std::string &ip)
{
    sockaddr_in address = socketAddress(ip + ":0");
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    socklen_t length = sizeof address;
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    const bool ok = bind(fd, generic, length) == 0 && getsockname(fd, generic, &length) == 0;
    const int error = errno;
    close(fd);
    if (!ok) {
        throw std::system_error(error, std::generic_category(), "bind " + ip);
    }
    return ip + ':' + std::to_string(ntohs(address.sin_port));
}

std::string freeAddress()
{
    return freeAddress(nextLoopbackIp());
}

std::string ipOf(const std::string &address)
{
    return address.substr(0, address.find(':'));
}

sockaddr_in socketAddress(const std::string &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    const auto colon = address.find(':');
    if (colon == std::string::npos || inet_pton(AF_INET, ipOf(address).c_str(), &result.sin_addr) != 1) {
        throw std::invalid_argument("not of the form ip:port: " + address);
    }
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}
}
