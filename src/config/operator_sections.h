// Readers of the larger sections of the operator's file, each in its own source file. Each sets the values
// that the section contains, and leaves the others at their defaults. All of them throw ConfigError.
#pragma once

#include <string>

#include "config/operator_file.h"
#include "config/section_reader.h"

namespace myrtleloft {

// [membership]
void readEndpointList(SectionReader& reader, OperatorFile::EndpointListSection& section);
// [quota]
void readQuota(SectionReader& reader, QuotaPlan& plan);
// [fleet]. `relay` is the name of this relay, which must not be one of the peers; if it is empty, this is not
// checked.
void readFleet(SectionReader& reader, const std::string& relay, FleetPlan& plan);

}  // namespace myrtleloft
