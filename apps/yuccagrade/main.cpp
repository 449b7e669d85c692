#include "commandline.h"
#include "curlexchange.h"

#include "base/clock.h"

#include <iostream>
#include <thread>

using namespace Yuccagrade;

int main(int argc, char **argv)
{
    const auto pause = [](TimeMs durationMs) {
        std::this_thread::sleep_for(std::chrono::milliseconds(durationMs));
    };
    const Environment environment{curlExchange(), Clock::system().now, pause, std::cin, std::cout, std::cerr};
    return static_cast<int>(runCommandLine({argv + 1, argv + argc}, environment));
}
