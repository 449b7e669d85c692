#include "jsoncodec.h"

#include <limits>
#include <memory>

namespace Yuccagrade
{
namespace
{
// Inner messages nest a few levels; a deep text from outside must not exhaust the stack.
constexpr int maxDepth = 32;
}

JsonReader::JsonReader(const Json::Value &value)
    : m_value(value)
    , m_ok(value.isObject())
{
}

const Json::Value *JsonReader::member(const char *name) const
{
    return m_value.isObject() ? m_value.find(name, name + std::char_traits<char>::length(name)) : nullptr;
}

JsonReader &JsonReader::read(const char *name, std::string &out)
{
    const Json::Value *value = member(name);
    m_ok = value && value->isString() && m_ok;
    if (value && value->isString()) {
        out = value->asString();
    }
    return *this;
}

JsonReader &JsonReader::read(const char *name, std::int64_t &out)
{
    const Json::Value *value = member(name);
    m_ok = value && value->isInt64() && m_ok;
    if (value && value->isInt64()) {
        out = value->asInt64();
    }
    return *this;
}

JsonReader &JsonReader::read(const char *name, std::uint64_t &out)
{
    const Json::Value *value = member(name);
    m_ok = value && value->isUInt64() && m_ok;
    if (value && value->isUInt64()) {
        out = value->asUInt64();
    }
    return *this;
}

JsonReader &JsonReader::read(const char *name, int &out)
{
    const Json::Value *value = member(name);
    m_ok = value && value->isInt() && m_ok;
    if (value && value->isInt()) {
        out = value->asInt();
    }
    return *this;
}

JsonReader &JsonReader::read(const char *name, double &out)
{
    const Json::Value *value = member(name);
    m_ok = value && value->isNumeric() && m_ok;
    if (value && value->isNumeric()) {
        out = value->asDouble();
    }
    return *this;
}

JsonReader &JsonReader::read(const char *name, bool &out)
{
    const Json::Value *value = member(name);
    m_ok = value && value->isBool() && m_ok;
    if (value && value->isBool()) {
        out = value->asBool();
    }
    return *this;
}

JsonReader &JsonReader::read(const char *name, std::vector<std::string> &out)
{
    const Json::Value *list = member(name);
    if (!list || !list->isArray()) {
        m_ok = false;
        return *this;
    }
    out.clear();
    for (const Json::Value &item : *list) {
        m_ok = item.isString() && m_ok;
        out.push_back(item.isString() ? item.asString() : std::string());
    }
    return *this;
}

JsonReader &JsonReader::read(const char *name, Json::Value &out)
{
    const Json::Value *value = member(name);
    m_ok = value && m_ok;
    if (value) {
        out = *value;
    }
    return *this;
}

std::string toText(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        return compact;
    }();
    return Json::writeString(builder, value);
}

bool parseJson(const std::string &text, Json::Value &value)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maxDepth;
    builder["strictRoot"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    } catch (const Json::Exception &) {
        return false; // jsoncpp throws when the nesting limit is exceeded
    }
}
}
