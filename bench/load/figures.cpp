#include "figures.h"

#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

namespace zinniadock::load
{

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
