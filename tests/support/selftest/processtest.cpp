#include <boost/test/unit_test.hpp>

#include "support/address.h"
#include "support/process.h"
#include "support/wait.h"

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace Yuccagrade::Test;

namespace
{
std::string outputFile()
{
    return (std::filesystem::temp_directory_path() / ("supporttest-" + std::to_string(getpid()) + ".log")).string();
}

bool exists(pid_t pid)
{
    return kill(pid, 0) == 0;
}

char stateOf(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string id;
    std::string name;
    char state = '?';
    file >> id >> name >> state;
    return state;
}

std::vector<std::string> upstreamCommand()
{
    return {TEST_UPSTREAM, "--service", "s", "--listen", nextLoopbackIp() + ":0"};
}
}

// Guards against processes that survive their test and disturb the next one.
BOOST_AUTO_TEST_CASE(processIsKilledAtDestruction)
{
    pid_t pid = -1;
    {
        Process process(upstreamCommand(), outputFile());
        pid = process.pid();
        BOOST_TEST(process.running());
        BOOST_TEST(exists(pid));
    }
    BOOST_TEST(!exists(pid));
}

// Guards against a kill that lets the program end in an orderly way, and against a stop that does not.
BOOST_AUTO_TEST_CASE(killAndTerminateAreToldApart)
{
    Process killed(upstreamCommand(), outputFile());
    killed.kill();
    BOOST_TEST(killed.exitCode().value_or(-1) == 128 + SIGKILL);
    const std::string file = outputFile() + "2";
    Process stopped(upstreamCommand(), file);
    const auto ready = [&file] {
        std::ifstream output(file);
        std::string word;
        return static_cast<bool>(output >> word);
    };
    BOOST_REQUIRE(waitFor(ready, 5000));
    stopped.terminate();
    BOOST_TEST(stopped.waitForExit(5000));
    BOOST_TEST(stopped.exitCode().value_or(-1) == 0);
    std::filesystem::remove(outputFile());
    std::filesystem::remove(file);
}

// Guards against fault tests whose frozen process goes on, and against figures read from the wrong field.
BOOST_AUTO_TEST_CASE(processFreezesAndReportsItsUse)
{
    Process process(upstreamCommand(), outputFile());
    BOOST_TEST(waitFor(
        [&] {
            return process.residentKiB() > 1000;
        },
        5000));
    process.freeze();
    BOOST_TEST(waitFor(
        [&] {
            return stateOf(process.pid()) == 'T';
        },
        5000));
    process.resume();
    BOOST_TEST(waitFor(
        [&] {
            return stateOf(process.pid()) == 'S';
        },
        5000));
    BOOST_TEST(process.cpuSeconds() < 5);
    Process busy({"/bin/sh", "-c", "while :; do :; done"}, outputFile());
    BOOST_TEST(waitFor(
        [&] {
            return busy.cpuSeconds() > 0.05;
        },
        5000));
    std::filesystem::remove(outputFile());
}

// Guards against a missing program that looks like one that exits at once.
BOOST_AUTO_TEST_CASE(missingProgramIsAnError)
{
    BOOST_CHECK_THROW(Process({"/nonexistent"}, outputFile()), std::system_error);
}

// Guards against a wait without bound.
BOOST_AUTO_TEST_CASE(waitIsBounded)
{
    const double start = steadyMs();
    BOOST_TEST(!waitFor(
        [] {
            return false;
        },
        30));
    BOOST_TEST(steadyMs() - start >= 30);
}
