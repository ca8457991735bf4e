# The audit: its library, and the stamp of the decision code that goes into it.
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/deploy/balancer.toml)
file(STRINGS deploy/balancer.toml policyLine REGEX "^policy *=")
string(REGEX MATCHALL "\"[^\"]+\"" policyNames "${policyLine}")
# What the decisions are compiled from: the sources of src/state and those that the deploy file names.
file(GLOB decisionState CONFIGURE_DEPENDS RELATIVE ${CMAKE_CURRENT_SOURCE_DIR} src/state/*.cpp src/state/*.h)
set(decisionFiles ${decisionState} include/myrtleloft/dispatcher.h)
set(MYRTLELOFT_POLICY_SOURCES ${decisionState})
list(FILTER MYRTLELOFT_POLICY_SOURCES INCLUDE REGEX "\\.cpp$")
foreach(name IN LISTS policyNames)
  string(REPLACE "\"" "" name "${name}")
  if(IS_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/${name})
    file(GLOB found CONFIGURE_DEPENDS RELATIVE ${CMAKE_CURRENT_SOURCE_DIR} ${name}/*.cpp ${name}/*.h)
  else()
    set(found ${name})
  endif()
  list(APPEND decisionFiles ${found})
  list(FILTER found INCLUDE REGEX "\\.cpp$")
  list(APPEND MYRTLELOFT_POLICY_SOURCES ${found})
endforeach()
list(REMOVE_DUPLICATES decisionFiles)
list(SORT decisionFiles)
string(TOUPPER "${CMAKE_BUILD_TYPE}" buildType)
# Warnings and sanitizers change no arithmetic, and are not in these.
set(decisionRules "${CMAKE_CXX_COMPILER_ID} ${CMAKE_CXX_COMPILER_VERSION} ${CMAKE_SYSTEM_PROCESSOR}"
                  " ${CMAKE_CXX_FLAGS} ${CMAKE_CXX_FLAGS_${buildType}}")
string(REPLACE ";" "" decisionRules "${decisionRules}")
list(JOIN decisionFiles "," decisionFilesText)
set(decisionStamp ${CMAKE_CURRENT_BINARY_DIR}/stamp/decision_stamp.h)
file(WRITE ${CMAKE_CURRENT_BINARY_DIR}/stamp/rules.txt.new "${decisionRules} ${decisionFilesText}")
configure_file(${CMAKE_CURRENT_BINARY_DIR}/stamp/rules.txt.new ${CMAKE_CURRENT_BINARY_DIR}/stamp/rules.txt COPYONLY)
list(TRANSFORM decisionFiles PREPEND ${CMAKE_CURRENT_SOURCE_DIR}/ OUTPUT_VARIABLE decisionPaths)
add_custom_command(
  OUTPUT ${decisionStamp}.made
  BYPRODUCTS ${decisionStamp}
  COMMAND ${CMAKE_COMMAND} -DOUT=${decisionStamp} -DROOT=${CMAKE_CURRENT_SOURCE_DIR} -DFILES=${decisionFilesText}
          "-DRULES=${decisionRules}" -P ${CMAKE_CURRENT_SOURCE_DIR}/cmake/decision_stamp.cmake
  COMMAND ${CMAKE_COMMAND} -E touch ${decisionStamp}.made
  DEPENDS ${decisionPaths} ${CMAKE_CURRENT_SOURCE_DIR}/cmake/decision_stamp.cmake
          ${CMAKE_CURRENT_BINARY_DIR}/stamp/rules.txt
  VERBATIM)
add_custom_target(myrtleloft_decision_stamp DEPENDS ${decisionStamp}.made)
