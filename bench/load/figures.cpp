#include "figures.h"

#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

namespace zinniadock::load
{

std::optional<double> Figures::value(const std::string &name) const
{
    const auto position = std::find_if(m_figures.begin(), m_figures.end(), [&name](const auto &figure) {
        return figure.first == name;
    });
    return position == m_figures.end() ? std::nullopt : std::optional(position->second);
}

void Figures::print() const
{
    for (const auto &[name, value] : m_figures) {
        std::cout << name << " " << value << "\n";
    }
    std::cout << std::flush;
}

bool Figures::write(const std::string &file) const
{
    nlohmann::json object = nlohmann::json::object();
    for (const auto &[name, value] : m_figures) {
        object[name] = value;
    }
    std::ofstream stream(file);
    stream << object.dump(2) << "\n";
    return stream.good();
}

} // namespace zinniadock::load
