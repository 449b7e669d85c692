#pragma once

#include <netinet/in.h>

#include <string>

namespace Yuccagrade::Test
{
/// Returns a loopback IP number that no other process under test of this machine uses (at most 2,000 per test run).
std::string nextLoopbackIp();
/// Returns "ip:port" with a port that is free on @p ip.
std::string freeAddress(const std::string &ip);
/// Returns "ip:port" on a new loopback IP number.
std::string freeAddress();
/// Returns the part of "ip:port" before the colon.
std::string ipOf(const std::string &address);
/// Parses "ip:port". Throws std::invalid_argument.
sockaddr_in socketAddress(const std::string &address);
}
