# Writes decision_stamp.h: a digest of what decides. Run at build time with
#   -DOUT=FILE -DROOT=FOLDER -DFILES=A,B,... -DRULES=TEXT
# The file changes only where the digest does, so that nothing is compiled anew for nothing.
string(REPLACE "," ";" files "${FILES}")
set(all "${RULES}")
foreach(file IN LISTS files)
  file(SHA256 "${ROOT}/${file}" digest)
  string(APPEND all "\n${file} ${digest}")
endforeach()
string(SHA256 stamp "${all}")
set(text "#pragma once\n\n#include <string_view>\n\nnamespace myrtleloft {\ninline constexpr std::string_view kDecisionStamp = \"${stamp}\";\n}  // namespace myrtleloft\n")
if(EXISTS "${OUT}")
  file(READ "${OUT}" before)
endif()
if(NOT "${before}" STREQUAL "${text}")
  file(WRITE "${OUT}" "${text}")
endif()
