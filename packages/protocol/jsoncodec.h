#pragma once

#include <cstdint>
#include <json/json.h>
#include <string>
#include <vector>

namespace Yuccagrade
{
/// Reads the fields of one JSON object and remembers whether any was missing or of the wrong type.
class JsonReader
{
public:
    explicit JsonReader(const Json::Value &value);

    JsonReader &read(const char *name, std::string &out);
    JsonReader &read(const char *name, std::int64_t &out);
    JsonReader &read(const char *name, std::uint64_t &out);
    JsonReader &read(const char *name, int &out);
    JsonReader &read(const char *name, double &out);
    JsonReader &read(const char *name, bool &out);
    JsonReader &read(const char *name, std::vector<std::string> &out);
    /// Reads a nested object or array of any type; it must exist.
    JsonReader &read(const char *name, Json::Value &out);
    /// Reads an array of structs that have `static bool fromJson(const Json::Value &, T &)`.
    template<typename T>
    JsonReader &readList(const char *name, std::vector<T> &out)
    {
        const Json::Value *list = member(name);
        if (!list || !list->isArray()) {
            m_ok = false;
            return *this;
        }
        out.clear();
        out.reserve(list->size());
        for (const Json::Value &item : *list) {
            T element;
            m_ok = T::fromJson(item, element) && m_ok;
            out.push_back(std::move(element));
        }
        return *this;
    }
    /// True if all fields were present with the right type.
    bool ok() const
    {
        return m_ok;
    }

private:
    const Json::Value *member(const char *name) const;

    const Json::Value &m_value;
    bool m_ok;
};

/// Returns an array of the `toJson()` values of @p items.
template<typename T>
Json::Value toJsonList(const std::vector<T> &items)
{
    Json::Value list(Json::arrayValue);
    for (const T &item : items) {
        list.append(item.toJson());
    }
    return list;
}

/// Returns compact JSON text.
std::string toText(const Json::Value &value);
/// Parses JSON text; depth is limited. Returns false on malformed text, never throws.
bool parseJson(const std::string &text, Json::Value &value);
}
