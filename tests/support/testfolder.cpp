#include "support/testfolder.h"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace Yuccagrade::Test
{
std::function<bool()> TestFolder::hasTestFailed;

TestFolder::TestFolder()
    : m_path((std::filesystem::temp_directory_path() / "yuccagrade-XXXXXX").string())
    , m_exceptions(std::uncaught_exceptions())
{
    if (!::mkdtemp(m_path.data())) {
        throw std::runtime_error("no temporary folder");
    }
}

TestFolder::~TestFolder()
{
    const bool failed = std::uncaught_exceptions() > m_exceptions || (hasTestFailed && hasTestFailed());
    if (failed) {
        std::cerr << "The folder of the failed test is kept: " << m_path << std::endl;
    } else if (!std::getenv("YUCCAGRADE_KEEP_FOLDER")) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}
}
