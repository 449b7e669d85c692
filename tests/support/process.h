#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace Yuccagrade::Test
{
/// A program under test. The destructor kills it if it still runs.
class Process
{
public:
    /// Starts @p arguments[0]; its output is appended to @p outputFile, that of the error stream to @p errorFile if given.
    /// Throws std::system_error.
    Process(const std::vector<std::string> &arguments, const std::string &outputFile, const std::string &errorFile = {});
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    pid_t pid() const
    {
        return m_pid;
    }
    bool running();
    /// Sends SIGKILL and waits until the process is gone.
    void kill();
    /// Sends SIGTERM.
    void terminate();
    /// Sends SIGSTOP.
    void freeze();
    /// Sends SIGCONT.
    void resume();
    /// Returns the exit code, 128 + signal if a signal ended the process, nothing while it runs.
    std::optional<int> exitCode();
    /// Waits for the end of the process. Returns false if it still runs after @p boundMs.
    bool waitForExit(double boundMs);
    /// User and system time used so far in s; 0 after the end.
    double cpuSeconds() const;
    /// Resident memory in KiB; 0 after the end.
    long residentKiB() const;

private:
    void send(int signal);

    pid_t m_pid = -1;
    std::optional<int> m_exitCode;
};
}
